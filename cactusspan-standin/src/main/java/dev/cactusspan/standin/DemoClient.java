package dev.cactusspan.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

/** A blocking HTTP client for the demo and tests. */
final class DemoClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a request; returns a reply with status zero if the connection fails. */
    Reply send(String method, URI uri, Map<String, String> headers, Object body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri).timeout(TIMEOUT);
        headers.forEach(builder::header);
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(JsonText.write(body));
        HttpRequest request = builder.method(method, publisher).build();
        try {
            HttpResponse<byte[]> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
            String outcome = response.headers().firstValue("cactusspan-outcome").orElse("");
            return new Reply(response.statusCode(), outcome, response.body());
        } catch (IOException e) {
            return new Reply(
                    0, "", String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new UncheckedIOException(new IOException(e));
        }
    }

    /**
     * A response to a request.
     *
     * @param status HTTP status, zero if the connection failed
     * @param outcome the outcome header
     * @param body the body
     */
    record Reply(int status, String outcome, byte[] body) {
        boolean isOk() {
            return status == 200;
        }

        boolean isNotExecuted() {
            return outcome.contains("ran=no");
        }

        /** Returns the error kind of the outcome header, or the status if that header is absent. */
        String errorKind() {
            int end = outcome.indexOf(';');
            return end < 0 ? "status " + status : outcome.substring("kind=".length(), end);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        JsonNode json() {
            return JsonText.parse("reply", text()).get();
        }
    }
}
