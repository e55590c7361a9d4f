package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A response whose head leaves open where its body ends, or whose body does not keep to it. */
final class MalformedBodyTest {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final ResponseProbe mProbe;

    MalformedBodyTest() throws IOException {
        mProbe = new ResponseProbe();
    }

    @AfterEach
    void close() {
        mProbe.close();
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\0", "\0");
    }

    private void shouldRefuse(String response) throws Exception {
        String refused = SendFailure.UNUSABLE_RESPONSE.name();
        assertThat(response, mProbe.outcome(response, false), is(refused));
        assertThat(response, mProbe.outcome(response, true), is(refused));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: +2",
                "Content-Length: -2",
                "Content-Length: 2 2",
                "Content-Length: 2, 2",
                "Content-Length: 0x2",
                "Content-Length: 2;",
                "Content-Length:",
                "Content-Length: 99999999999999999999",
                "Content-Length: 2                                                             2",
                "Content-Length: 2\\r\\nContent-Length: 3",
                "Content-Length: 3\\r\\ncontent-length: 2",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: chunked;q=1",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding:",
                "Transfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip\\r\\nTransfer-Encoding: chunked",
                "Content-Length: 2\\r\\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\\r\\nContent-Length: 2"
            })
    void shouldRefuseFieldsThatLeaveTheEndOfTheBodyOpen(String fields) throws Exception {
        String body = fields.contains("chunked") ? "2\r\nok\r\n" + LAST_CHUNK : "ok";
        shouldRefuse(STATUS_LINE + unescape(fields) + "\r\n\r\n" + body);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "2 2\\r\\nok\\r\\n",
                "2 \\r\\nok\\r\\n",
                " 2\\r\\nok\\r\\n",
                "2x\\r\\nok\\r\\n",
                "+2\\r\\nok\\r\\n",
                "-2\\r\\nok\\r\\n",
                "0x2\\r\\nok\\r\\n",
                "\\r\\nok\\r\\n",
                ";a=b\\r\\nok\\r\\n",
                "2;a=\\0\\r\\nok\\r\\n",
                "2\\nok\\r\\n",
                "2\\rok\\r\\n",
                "2\\r\\nok",
                "2\\r\\nok\\n",
                "2\\r\\nokay\\r\\n",
                "3\\r\\nok\\r\\n",
                "10000000000000002\\r\\nok\\r\\n",
                "2\\r\\nok\\r\\n\\r\\n"
            })
    void shouldRefuseMalformedChunks(String chunk) throws Exception {
        shouldRefuse(CHUNKED + unescape(chunk) + LAST_CHUNK);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"Na me: x", "Name : x", "Name", ": x", "Name: \\0", " folded", "a\\rb: x"})
    void shouldRefuseMalformedTrailers(String trailer) throws Exception {
        shouldRefuse(CHUNKED + "2\r\nok\r\n0\r\n" + unescape(trailer) + "\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 No Content\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                "HTTP/1.1 204 No Content\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "HTTP/1.0 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
                        + "2\\r\\nok\\r\\n0\\r\\n\\r\\n"
            })
    void shouldRefuseABodyThatItsHeadRulesOut(String response) throws Exception {
        shouldRefuse(unescape(response));
    }

    /** The parser ends each of these where the grammar does, so that its connection is kept. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET|200 ok|HTTP/1.1 200 OK\\r\\ncontent-LENGTH:2\\r\\n\\r\\nok",
                "GET|200 ok|HTTP/1.1 200 OK\\r\\nContent-Length: \\t02 \\r\\n\\r\\nok",
                "GET|200 ok|HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\nContent-Length: 2"
                        + "\\r\\n\\r\\nok",
                "GET|200 |HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "GET|200 ok|CHUNKED2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "GET|200 ok|CHUNKED1\\r\\no\\r\\n0001\\r\\nk\\r\\n000\\r\\n\\r\\n",
                "GET|200 0123456789|CHUNKEDa\\r\\n0123456789\\r\\n0\\r\\n\\r\\n",
                "GET|200 0123456789|CHUNKEDA\\r\\n0123456789\\r\\n0\\r\\n\\r\\n",
                "GET|200 ok|CHUNKED2;a=\"b;c\"\\r\\nok\\r\\n0;d\\r\\n\\r\\n",
                "GET|200 ok|CHUNKED2 ; a = b\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "GET|200 ok|CHUNKED2\\r\\nok\\r\\n0\\r\\nDigest: x\\r\\n"
                        + "Content-Length: x\\r\\n\\r\\n",
                "GET|200 ok|HTTP/1.1 200 OK\\r\\nTransfer-Encoding: Chunked\\r\\n\\r\\n"
                        + "2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "GET|204 |HTTP/1.1 204 No Content\\r\\n\\r\\n",
                "GET|204 |HTTP/1.1 204 No Content\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "GET|304 |HTTP/1.1 304 Not Modified\\r\\n\\r\\n",
                "HEAD|200 |HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\n",
                "HEAD|200 |CHUNKED",
                "HEAD|200 |HTTP/1.1 200 OK\\r\\n\\r\\n"
            })
    void shouldKeepTheConnection(String method, String outcome, String response) throws Exception {
        String bytes = unescape(response.replace("CHUNKED", CHUNKED));
        try (KeepAliveServer server = ResponseProbe.serverOf(bytes, bytes, bytes)) {
            for (int i = 0; i < 3; i++) {
                assertThat(mProbe.send(method, server.uri()).strip(), is(outcome.strip()));
            }
            assertThat(server.connections(), is(1));
        }
    }

    /**
     * A 304 names the length of the body that it does not have; the next bytes are not that body.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n"})
    void shouldTakeNoBodyForThatOfA304(String next) throws Exception {
        String notModified = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
        String bytes = notModified + unescape(next);
        try (KeepAliveServer server = ResponseProbe.serverOf(bytes)) {
            assertThat(mProbe.send("GET", server.uri()), is("304 "));
            assertThat(mProbe.send("GET", server.uri()), is("304 "));
        }
    }

    /** What follows a whole answer would be taken for the start of the next one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok!",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok"
                        + "HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nother",
                "CHUNKED2\\r\\nok\\r\\n0\\r\\n\\r\\n"
                        + "HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nother"
            })
    void shouldNotUseAConnectionAgainWithBytesBehindAnAnswer(String response) throws Exception {
        String bytes = unescape(response.replace("CHUNKED", CHUNKED));
        try (KeepAliveServer server = ResponseProbe.serverOf(bytes, bytes)) {
            assertThat(mProbe.send("GET", server.uri()), is("200 ok"));
            assertThat(mProbe.send("GET", server.uri()), is("200 ok"));
            assertThat(server.connections(), is(2));
        }
    }
}
