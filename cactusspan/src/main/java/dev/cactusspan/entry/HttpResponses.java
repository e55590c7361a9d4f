package dev.cactusspan.entry;

import dev.cactusspan.result.ErrorTable;
import dev.cactusspan.result.ExecutionStatus;
import dev.cactusspan.result.Failure;
import dev.cactusspan.text.JsonText;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Locale;

/** Writes complete HTTP responses and failures. */
final class HttpResponses {
    /** Header with the error kind, whether the request ran, and when it may be retried. */
    static final HttpString OUTCOME = new HttpString("Cactusspan-Outcome");

    private static final String JSON = "application/json";

    private HttpResponses() {}

    static void respond(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(OUTCOME, "kind=ok; ran=yes; retry=never");
        if (!contentType.isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        }
        send(exchange, body);
    }

    static void respondJson(HttpServerExchange exchange, int status, Object value) {
        respond(exchange, status, JSON, JsonText.write(value));
    }

    static void respondFailure(HttpServerExchange exchange, Failure failure) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(failure.tableRow().status());
        exchange.getResponseHeaders().put(OUTCOME, outcome(failure));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        send(exchange, failureBody(failure));
    }

    private static void send(HttpServerExchange exchange, byte[] body) {
        if (body.length == 0) {
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    private static String outcome(Failure failure) {
        ErrorTable.Row row = failure.tableRow();
        return "kind="
                + failure.kind().wireName()
                + "; ran="
                + row.ran().wireName()
                + "; retry="
                + row.retry().name().toLowerCase(Locale.ROOT);
    }

    static byte[] failureBody(Failure failure) {
        ErrorTable.Row row = failure.tableRow();
        return JsonText.write(
                new ErrorBody(
                        new ErrorDetail(
                                failure.kind().wireName(),
                                row.ran(),
                                row.retry(),
                                failure.detail())));
    }

    private record ErrorBody(ErrorDetail error) {}

    private record ErrorDetail(
            String kind, ExecutionStatus ran, ErrorTable.Retry retry, String message) {}
}
