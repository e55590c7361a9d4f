package dev.cactusspan.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Bytes that are no HTTP/1.1 response reach nobody as one, on a new connection or a kept one. */
final class MalformedResponseTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final int MAX_BYTES = 1_000;
    private static final String GOOD_STATUS = "HTTP/1.1 200 OK";

    private final HttpClient mHttp;

    MalformedResponseTest() throws IOException {
        mHttp = HttpClient.create();
    }

    @AfterEach
    void close() {
        mHttp.close();
    }

    /** How the end of a body is known. */
    private enum End {
        LENGTH("Content-Length: 2", "ok"),
        CHUNKS("Transfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"),
        CONNECTION("Connection: close", "ok");

        private final String mField;
        private final String mBody;

        End(String field, String body) {
            mField = field;
            mBody = body;
        }

        String response(String statusLine) {
            return response(statusLine, mField);
        }

        String responseWithField(String line, int at) {
            List<String> fields = new ArrayList<>(List.of("Server-Stamp: s", mField));
            fields.add(at, line);
            return response(GOOD_STATUS, String.join("\r\n", fields));
        }

        private String response(String statusLine, String fields) {
            return String.join("\r\n", statusLine, fields, "", mBody);
        }
    }

    /** Returns the response to a request on a new or a kept connection, or why there is none. */
    private String outcome(String method, String response, boolean isKept) throws Exception {
        int number = isKept ? 1 : 0;
        try (KeepAliveServer server =
                new KeepAliveServer(
                        (head, n) ->
                                n < number
                                        ? KeepAliveServer.response(200, "A: b", "")
                                        : response)) {
            for (int i = 0; i < number; i++) {
                assertThat(send(method, server), is("200 "));
            }
            String outcome = send(method, server);
            assertThat(server.connections(), is(1));
            return outcome;
        }
    }

    private String send(String method, KeepAliveServer server) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        HttpRequest request =
                new HttpRequest(
                        method,
                        server.uri(),
                        "/",
                        Map.of(),
                        new byte[0],
                        TIMEOUT_MS,
                        MAX_BYTES,
                        false);
        mHttp.send(request, new Recorder(outcome));
        return outcome.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void shouldRefuse(String response) throws Exception {
        String refused = SendFailure.UNUSABLE_RESPONSE.name();
        assertThat(response, outcome("GET", response, false), is(refused));
        assertThat(response, outcome("GET", response, true), is(refused));
    }

    private static Stream<Arguments> withEachEnd(Stream<String> values) {
        return values.flatMap(
                value -> Stream.of(End.values()).map(end -> Arguments.of(value, end)));
    }

    static Stream<Arguments> malformedStatusLines() {
        Stream<String> statuses =
                Stream.of(
                                "000", "001", "099", "0", "20", "2000", "600", "999", "-20", "+20",
                                "2 0", "0200", " 200", "2x0", "", "101")
                        .map(status -> "HTTP/1.1 " + status + " OK");
        Stream<String> others =
                Stream.of(
                        "HTTP/9.9 200 OK",
                        "HTTP/1.2 200 OK",
                        "HTP/1.1 200 OK",
                        "http/1.1 200 OK",
                        "HTTP/1.1x 200 OK",
                        "HTTP/1.1\t200 OK",
                        " HTTP/1.1 200 OK",
                        "HTTP/1.1 200",
                        "HTTP/1.1 200\tOK",
                        "HTTP/1.1 200 O\0K",
                        "HTTP/1.1 200 O\rK",
                        "HTTP/1.1 200 O\u007fK",
                        "HTTP/1.1 200 OK\u0001");
        return withEachEnd(Stream.concat(statuses, others));
    }

    @ParameterizedTest
    @MethodSource("malformedStatusLines")
    void shouldRefuseAMalformedStatusLine(String statusLine, End end) throws Exception {
        shouldRefuse(end.response(statusLine));
    }

    static Stream<Arguments> statusLines() {
        return withEachEnd(
                Stream.of(
                        GOOD_STATUS,
                        "HTTP/1.1 200 ",
                        "HTTP/1.1 200 two words",
                        "HTTP/1.1 200 gr\u00fcn\t",
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"));
    }

    @ParameterizedTest
    @MethodSource("statusLines")
    void shouldTakeAnyStatusLineOfTheGrammar(String statusLine, End end) throws Exception {
        assertThat(outcome("GET", end.response(statusLine), false), is("200 ok"));
        assertThat(outcome("GET", end.response(statusLine), true), is("200 ok"));
    }

    static Stream<Arguments> interimResponses() {
        return withEachEnd(
                Stream.of(
                        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
                        "HTTP/1.1 102 \r\n\r\n",
                        "HTTP/1.1 199 \r\nContent-Length: 9\r\n\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 110 \r\nA: b\r\n\r\n"));
    }

    /**
     * An interim response was taken for the answer, and the answer for that to the next request.
     */
    @ParameterizedTest
    @MethodSource("interimResponses")
    void shouldTakeTheResponseAfterInterimOnes(String interim, End end) throws Exception {
        String response = interim + end.response(GOOD_STATUS);
        assertThat(outcome("GET", response, false), is("200 ok"));
        assertThat(outcome("GET", response, true), is("200 ok"));
    }

    static Stream<Arguments> malformedFields() {
        Stream<String> names =
                Stream.of(
                                " ", "\t", "\0", "\u0001", "\u001f", "\u007f", "\r", "\n", "(", "@",
                                "\u00e9")
                        .flatMap(
                                c ->
                                        Stream.of(
                                                c + "Name: x",
                                                "Na" + c + "me: x",
                                                "Name" + c + ": x"));
        Stream<String> framingNames =
                Stream.of(
                        "Content- Length: 1", "Content-Length : 1", "Transfer-\tEncoding: chunked");
        Stream<String> lines = Stream.of("Name", ": x", ":", "Name x", "Name;x", " folded");
        Stream<String> values =
                Stream.of("\0", "\u0001", "\b", "\u007f", "\r", "\n", "\r\n ", "\r\n\t")
                        .flatMap(c -> Stream.of("Name: " + c + "x", "Name: x" + c + "y"));
        return withEachEnd(
                Stream.of(names, framingNames, lines, values).flatMap(Function.identity()));
    }

    /** A wrong line hides a field, or comes as another one, wherever it stands. */
    @ParameterizedTest
    @MethodSource("malformedFields")
    void shouldRefuseAMalformedField(String line, End end) throws Exception {
        for (int at = 0; at <= 2; at++) {
            shouldRefuse(end.responseWithField(line, at));
        }
    }

    static Stream<Arguments> fields() {
        return withEachEnd(
                Stream.of(
                        "Name:",
                        "Name: ",
                        "Name:x",
                        "Name:\t x \t",
                        "!#$%&'*+-.^_`|~09azAZ: x",
                        "Name: a:b, (c) \"d\" @ \u00e9\u00ff"));
    }

    @ParameterizedTest
    @MethodSource("fields")
    void shouldTakeAnyFieldOfTheGrammar(String line, End end) throws Exception {
        for (int at = 0; at <= 2; at++) {
            String response = end.responseWithField(line, at);
            assertThat(response, outcome("GET", response, false), is("200 ok"));
            assertThat(response, outcome("GET", response, true), is("200 ok"));
        }
    }

    /** Records the status and the body of a response, or the failure. */
    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<String> mOutcome;
        private final StringBuilder mText = new StringBuilder();

        Recorder(CompletableFuture<String> outcome) {
            mOutcome = outcome;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mText.append(status).append(' ');
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            mText.append(new String(data, ISO_8859_1));
            consumed.run();
        }

        @Override
        public void onEnd() {
            mOutcome.complete(mText.toString());
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            mOutcome.complete(failure.name());
        }
    }
}
