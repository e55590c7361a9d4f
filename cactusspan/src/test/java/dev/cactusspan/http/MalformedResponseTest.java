package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Bytes that are no HTTP/1.1 response reach nobody as one, on a new connection or a kept one. */
final class MalformedResponseTest {
    private static final String GOOD_STATUS = "HTTP/1.1 200 OK";

    private final ResponseProbe mProbe;

    MalformedResponseTest() throws IOException {
        mProbe = new ResponseProbe();
    }

    @AfterEach
    void close() {
        mProbe.close();
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

    private void shouldRefuse(String response) throws Exception {
        String refused = SendFailure.UNUSABLE_RESPONSE.name();
        assertThat(response, mProbe.outcome(response, false), is(refused));
        assertThat(response, mProbe.outcome(response, true), is(refused));
    }

    private void shouldTake(String response) throws Exception {
        assertThat(response, mProbe.outcome(response, false), is("200 ok"));
        assertThat(response, mProbe.outcome(response, true), is("200 ok"));
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
        shouldTake(end.response(statusLine));
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
        shouldTake(interim + end.response(GOOD_STATUS));
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
            shouldTake(end.responseWithField(line, at));
        }
    }
}
