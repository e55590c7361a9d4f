package dev.cactusspan.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Shows what a client makes of given bytes that a server sends. */
final class ResponseProbe implements AutoCloseable {
    private static final long TIMEOUT_MS = 20_000;
    private static final int MAX_BYTES = 1_000;
    private static final String GOOD_RESPONSE = KeepAliveServer.response(200, "A: b", "good");

    private final HttpClient mHttp;

    ResponseProbe() throws IOException {
        mHttp = HttpClient.create();
    }

    /**
     * Returns what the client makes of a response.
     *
     * @param response the bytes
     * @param isKept true to send it on a connection that has carried another response
     * @return its status and body, or the failure
     */
    String outcome(String response, boolean isKept) throws Exception {
        String[] responses =
                isKept ? new String[] {GOOD_RESPONSE, response} : new String[] {response};
        try (KeepAliveServer server = serverOf(responses)) {
            String outcome = "";
            for (int i = 0; i < responses.length; i++) {
                outcome = send("GET", server.uri());
            }
            if (server.connections() != 1) {
                throw new IllegalStateException("the connection was not kept");
            }
            return outcome;
        }
    }

    /** Returns a server that sends these responses on each connection. */
    static KeepAliveServer serverOf(String... responses) throws IOException {
        return new KeepAliveServer((head, number) -> responses[number]);
    }

    /** Sends a request; returns the status and the body of the response, or the failure. */
    String send(String method, URI server) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        HttpRequest request =
                new HttpRequest(
                        method, server, "/", Map.of(), new byte[0], TIMEOUT_MS, MAX_BYTES, false);
        mHttp.send(request, new Recorder(outcome));
        return outcome.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mHttp.close();
    }

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
