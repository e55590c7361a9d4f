package dev.cactusspan.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;

/**
 * A stand-in for a model engine. It streams tokens that are a function of the prompt, at a fixed
 * rate and under the active weight version, and accepts orders to stage and activate versions.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int DEFAULT_TOKENS = 16;

    private final EngineOptions mOptions;
    private final StandInTimer mTimer = new StandInTimer("engine-timer");
    private final Undertow mServer;
    private final AtomicLong mActive = new AtomicLong(1);
    private final AtomicLong mStaged = new AtomicLong(1);
    private final AtomicLong mKeysSeen = new AtomicLong();
    private final AtomicLong mServed = new AtomicLong();
    private volatile boolean mIsActivationFailing;
    private volatile int mTruncateAfterTokens = Integer.MAX_VALUE;

    private EngineStandIn(EngineOptions options) {
        mOptions = options;
        HttpHandler routes =
                new RoutingHandler()
                        .post("/v1/completions", this::complete)
                        .post("/v1/chat/completions", this::complete)
                        .get("/version", e -> StandInServer.sendJson(e, 200, version()))
                        .post("/weights/stage", e -> applyOrder(e, mStaged))
                        .post("/weights/activate", e -> applyOrder(e, mActive))
                        .get("/counters", e -> StandInServer.sendJson(e, 200, counters()));
        mServer = StandInServer.start(options.ip(), options.port(), routes);
    }

    /**
     * Starts an engine.
     *
     * @param options its options
     * @return the running engine
     */
    public static EngineStandIn start(EngineOptions options) {
        return new EngineStandIn(options);
    }

    /**
     * Returns the text that the engine generates for a prompt.
     *
     * @param prompt the prompt
     * @param tokens number of tokens
     * @return the text
     */
    public static String expectedText(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }

    private static String token(String prompt, int index) {
        String digest =
                Hashing.murmur3_32_fixed().hashString(prompt, StandardCharsets.UTF_8).toString();
        return digest + "-" + index + " ";
    }

    // Operations

    /**
     * Makes orders to activate versions fail, or succeed again.
     *
     * @param isFailing true to fail
     */
    public void failActivations(boolean isFailing) {
        mIsActivationFailing = isFailing;
    }

    /**
     * Closes the connection of each streamed response after some tokens.
     *
     * @param tokens number of tokens to send before closing
     */
    public void truncateAfter(int tokens) {
        mTruncateAfterTokens = tokens;
    }

    private void complete(HttpServerExchange exchange) {
        if (exchange.getRequestHeaders().contains(Headers.AUTHORIZATION)) {
            mKeysSeen.incrementAndGet();
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            e.dispatch();
                            complete(e, JsonText.parse("body", text(body)).get());
                        });
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private void complete(HttpServerExchange exchange, JsonNode request) {
        String prompt =
                request.has("messages")
                        ? request.get("messages").toString()
                        : request.path("prompt").asText("");
        int tokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
        if (!request.path("stream").asBoolean(false)) {
            mTimer.schedule(
                    tokens * mOptions.tokenMicros(),
                    () ->
                            exchange.getIoThread()
                                    .execute(() -> sendComplete(exchange, prompt, tokens)));
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        stream(exchange, prompt, tokens, 0);
    }

    private void sendComplete(HttpServerExchange exchange, String prompt, int tokens) {
        mServed.incrementAndGet();
        StandInServer.sendJson(
                exchange, 200, new Completion(new Choice[] {choice(expectedText(prompt, tokens))}));
    }

    private static Choice choice(String text) {
        return new Choice(0, text, new Message("assistant", text));
    }

    private void stream(HttpServerExchange exchange, String prompt, int tokens, int index) {
        if (index >= mTruncateAfterTokens) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        if (index == tokens) {
            mServed.incrementAndGet();
            exchange.getResponseSender().send("data: [DONE]\n\n");
            return;
        }
        long version = mOptions.namesVersion() ? mActive.get() : 0;
        Part part = new Part(new Choice[] {choice(token(prompt, index))}, 1, version);
        ByteBuffer event =
                ByteBuffer.wrap(
                        ("data: " + JsonText.writeString(part) + "\n\n")
                                .getBytes(StandardCharsets.UTF_8));
        exchange.getResponseSender()
                .send(
                        event,
                        new NextTokenCallback(
                                () -> scheduleNext(exchange, prompt, tokens, index + 1)));
    }

    private void scheduleNext(HttpServerExchange exchange, String prompt, int tokens, int index) {
        Runnable next =
                () -> exchange.getIoThread().execute(() -> stream(exchange, prompt, tokens, index));
        mTimer.schedule(mOptions.tokenMicros(), next);
    }

    private void applyOrder(HttpServerExchange exchange, AtomicLong version) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            long requested =
                                    JsonText.parse("body", text(body))
                                            .get()
                                            .path("version")
                                            .asLong();
                            boolean isFailing = version == mActive && mIsActivationFailing;
                            if (isFailing) {
                                StandInServer.sendJson(e, 500, "swap failed");
                                return;
                            }
                            version.accumulateAndGet(requested, Math::max);
                            mStaged.accumulateAndGet(requested, Math::max);
                            StandInServer.sendJson(e, 200, version());
                        });
    }

    private Version version() {
        return new Version(mActive.get(), mStaged.get());
    }

    // Accessors

    private Counters counters() {
        return new Counters(mServed.get(), mKeysSeen.get());
    }

    /**
     * Returns the number of requests that carried a key.
     *
     * @return requests with an Authorization header
     */
    public long keysSeen() {
        return mKeysSeen.get();
    }

    /**
     * Returns the bound port.
     *
     * @return the port
     */
    public int port() {
        return StandInServer.port(mServer);
    }

    @Override
    public void close() {
        mServer.stop();
        mTimer.close();
    }

    /**
     * Options of an engine.
     *
     * @param ip address to listen on
     * @param port port to listen on, zero for a free one
     * @param tokenMicros time for one token, in microseconds
     * @param namesVersion true if each event names the weight version
     */
    public record EngineOptions(String ip, int port, long tokenMicros, boolean namesVersion) {}

    private record Version(long active, long staged) {}

    private record Counters(long served, long keysSeen) {}

    private record Choice(int index, String text, Message message) {}

    private record Message(String role, String content) {}

    private record Completion(Choice[] choices) {}

    private record Part(Choice[] choices, int tokens, long weightVersion) {}
}
