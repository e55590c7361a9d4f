package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.standin.StandInServer;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;

/**
 * Emulates a target that registers itself in the store: a plain service, or an engine that streams
 * events, resumes streams and loads weight versions. All targets generate the same text for an
 * item, so that it can be verified.
 */
public final class TargetEmulator implements AutoCloseable {
    private static final HttpString ATTEMPT_ID = new HttpString("Attempt-Id");
    private static final HttpString RESPONSE_DIGEST = new HttpString("Server-Stamp");
    private static final HttpString NOT_EXECUTED = new HttpString("Not-Executed");
    private static final HttpString WEIGHT_VERSIONS = new HttpString("Weight-Versions");
    private static final HttpString LEAVING = new HttpString("Server-Leaving");
    private static final HttpString REQUEST_LIMIT = new HttpString("Server-Limit");
    private static final long NS_PER_MS = 1_000_000;

    /** Body of a request that crashes each plain service that runs it. */
    static final String CRASHING_BODY = "crash";

    /** Path prefix of client streams, whose events consist of the target's software version. */
    static final String STREAM_PREFIX = "/streams/";

    /** Number of events of a client stream. */
    static final int STREAM_EVENTS = 60;

    /** Time from a crash until the target is back, in milliseconds. */
    private static final long RESTART_MS = 1_500;

    private static final long EVENT_MS = 12;
    private static final long WORK_MS = 8;
    private static final long LOAD_MS = 300;
    private static final int MAX_EVENTS = 14;

    /** Size of a request of which a plain service returns the length instead of the body. */
    private static final int MAX_ECHO_BYTES = 1 << 20;

    private final StoreEmulator mStore;
    private final ObservationLog mObservations;
    private final String mId;
    private final String mService;
    private final String mSoftware;
    private final String mModel;
    private final long mWindowMs;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final AtomicLong mVersion = new AtomicLong(1);
    private final AtomicLong mSequence = new AtomicLong();
    private final AtomicLong mFencingNumber = new AtomicLong();
    private final AtomicInteger mRunning = new AtomicInteger();
    private final Random mRandom;
    private Undertow mServer;
    private volatile boolean mIsLoading;
    private volatile boolean mIsDraining;
    private volatile boolean mSaysItLeaves;
    private final AtomicInteger mRequestsWhileLeaving = new AtomicInteger();
    private volatile int mTruncateOneIn;
    private volatile int mFailOneIn;
    private volatile Optional<String> mLimit = Optional.empty();
    private volatile Optional<RequestLimitCheck> mLimitCheck = Optional.empty();
    private volatile int mRegisteredPort;
    private volatile String mZone = "zone-a";
    private final AtomicLong mBorn = new AtomicLong(1);
    private volatile long mColdMs;
    private volatile Optional<ColdTargetCheck> mColdCheck = Optional.empty();
    private final AtomicInteger mRequests = new AtomicInteger();

    private TargetEmulator(
            StoreEmulator store,
            ObservationLog observations,
            String id,
            String service,
            String software,
            String model,
            long windowMs) {
        mStore = store;
        mObservations = observations;
        mId = id;
        mService = service;
        mSoftware = software;
        mModel = model;
        mWindowMs = windowMs;
        mRandom = new Random(id.hashCode());
        mServer = StandInServer.start("127.0.0.1", 0, this::handle);
        mRegisteredPort = port();
    }

    /**
     * Starts a target on a free port of loopback and registers it.
     *
     * @param store the store
     * @param observations log of what targets observe
     * @param id its id
     * @param service its service
     * @param software version of its software, which the events of client streams consist of
     * @param model the model of an engine, empty for a plain service
     * @param windowMs length of a usage window, in milliseconds
     * @return the running target
     */
    public static TargetEmulator start(
            StoreEmulator store,
            ObservationLog observations,
            String id,
            String service,
            String software,
            String model,
            long windowMs) {
        TargetEmulator target =
                new TargetEmulator(store, observations, id, service, software, model, windowMs);
        target.register();
        return target;
    }

    /** Returns the texts of all events that every target generates for an item. */
    static List<String> eventTexts(String item) {
        int events = 2 + Math.floorMod(item.hashCode(), MAX_EVENTS);
        return java.util.stream.IntStream.rangeClosed(1, events)
                .mapToObj(n -> item + ":" + n)
                .toList();
    }

    /** Returns the digest that a target sends with its response to a request. */
    static String responseDigest(String request) {
        return "st-" + Integer.toHexString(request.hashCode());
    }

    // Operations

    /**
     * Truncates some responses by closing their connections.
     *
     * @param oneIn one in how many responses, zero for none
     */
    public void truncateOneIn(int oneIn) {
        mTruncateOneIn = oneIn;
    }

    /**
     * Responds to some requests with an error, while the target's entry in the store still reports
     * it as ready.
     *
     * @param oneIn one in how many requests, zero for none
     */
    public void failOneIn(int oneIn) {
        mFailOneIn = oneIn;
    }

    /**
     * Names a request limit in all responses from now on, and checks that it is kept.
     *
     * @param limitPerS requests per second from all processes together
     */
    public void limitRequests(double limitPerS) {
        mLimitCheck = Optional.of(new RequestLimitCheck(mId, limitPerS, mObservations));
        nameLimit(limitPerS);
    }

    /**
     * Names a request limit in all responses from now on, without a check.
     *
     * @param limitPerS requests per second from all processes together
     */
    void nameLimit(double limitPerS) {
        mLimit = Optional.of(String.format(Locale.ROOT, "%.1f", limitPerS));
    }

    /** Names no request limit any more. */
    void endLimit() {
        mLimit = Optional.empty();
    }

    /** Closes all connections, and refuses new ones until the target is back. */
    void crash() {
        new Thread(this::restart, mId + "-restart").start();
    }

    /** Says in all responses that the target leaves, while its entry still reports it as ready. */
    void sayLeaving() {
        mSaysItLeaves = true;
    }

    /** Reports that the target is draining; it still serves new requests. */
    public void startDraining() {
        mIsDraining = true;
        register();
    }

    /**
     * Registers another port, such as a proxy's.
     *
     * @param port the port
     */
    public void registerPort(int port) {
        mRegisteredPort = port;
        register();
    }

    /**
     * Moves the target to another availability zone.
     *
     * @param zone the zone
     */
    void placeIn(String zone) {
        mZone = zone;
        register();
    }

    /** Removes the target's entry, as its silence does. */
    void leaveList() {
        mStore.delete("servers/" + mId);
    }

    /**
     * Registers the target again as one that has just started, and checks that it gets no more
     * requests than it bears while it is cold.
     *
     * @param coldMs how long it is cold, in milliseconds
     * @param coldPerS requests per second that it bears
     */
    void returnCold(long coldMs, double coldPerS) {
        mBorn.incrementAndGet();
        mColdMs = coldMs;
        mColdCheck = Optional.of(new ColdTargetCheck(mId, coldPerS, coldMs, mObservations));
        register();
    }

    private void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", mService);
        entry.put("address", "127.0.0.1:" + mRegisteredPort);
        entry.put("zone", mZone);
        entry.put("version", mSoftware);
        entry.put("slots", 8);
        entry.put("state", mIsDraining ? "draining" : "ready");
        entry.put("cold_remaining_ms", mColdMs);
        entry.put("sequence", mSequence.get());
        entry.put("born", mBorn.get());
        if (!mModel.isEmpty()) {
            entry.put("models", List.of(Map.of("name", mModel, "version", mVersion.get())));
        }
        mStore.put("servers/" + mId, entry);
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/-/report")) {
            StandInServer.sendJson(exchange, 200, report());
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            if (path.equals("/-/order")) {
                                order(e, JsonText.read(body, JsonNode.class).get());
                                return;
                            }
                            e.dispatch(mExecutor, () -> run(e, body));
                        });
    }

    private Map<String, Object> report() {
        return Map.of(
                "running",
                mRunning.get(),
                "waiting",
                0,
                "busy",
                mIsLoading,
                "sequence",
                mSequence.get());
    }

    private void order(HttpServerExchange exchange, JsonNode order) {
        long fence = order.path("fence").asLong();
        long version = order.path("version").asLong();
        if (fence < mFencingNumber.get()) {
            exchange.setStatusCode(412);
        } else if (mIsLoading || order.path("expected").asLong() != mSequence.get()) {
            exchange.setStatusCode(409);
        } else if (version <= mVersion.get()) {
            exchange.setStatusCode(200);
        } else {
            mFencingNumber.set(fence);
            mSequence.incrementAndGet();
            mIsLoading = true;
            mExecutor.execute(() -> load(version));
            exchange.setStatusCode(202);
        }
        exchange.endExchange();
    }

    private void load(long version) {
        pause(LOAD_MS);
        mVersion.set(version);
        mIsLoading = false;
        register();
    }

    private void run(HttpServerExchange exchange, byte[] body) {
        String id = StandInServer.header(exchange, "Attempt-Id");
        exchange.getResponseHeaders().put(ATTEMPT_ID, id);
        if (mSaysItLeaves) {
            mRequestsWhileLeaving.incrementAndGet();
            exchange.getResponseHeaders().put(LEAVING, "1");
        }
        mLimit.ifPresent(limit -> exchange.getResponseHeaders().put(REQUEST_LIMIT, limit));
        mRequests.incrementAndGet();
        mLimitCheck.ifPresent(check -> check.recordRequest(System.nanoTime() / NS_PER_MS));
        mColdCheck.ifPresent(check -> check.recordRequest(System.nanoTime() / NS_PER_MS));
        if (!StandInServer.header(exchange, "Expect-Instance").equals(mId)) {
            refuse(exchange, 421);
            return;
        }
        if (!StandInServer.header(exchange, "X-Api-Key").isEmpty()) {
            mObservations.addViolation(id + ": a client's key was forwarded");
        }
        if (mIsLoading) {
            refuse(exchange, 503);
            return;
        }
        if (isSelected(mFailOneIn)) {
            exchange.setStatusCode(500);
            exchange.endExchange();
            return;
        }
        mRunning.incrementAndGet();
        try {
            if (mModel.isEmpty()) {
                respond(exchange, id, body);
            } else {
                generate(exchange, id);
            }
        } finally {
            mRunning.decrementAndGet();
        }
    }

    private static void refuse(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(NOT_EXECUTED, "1");
        exchange.endExchange();
    }

    private void respond(HttpServerExchange exchange, String id, byte[] body) {
        if (new String(body, StandardCharsets.UTF_8).equals(CRASHING_BODY)) {
            mObservations.recordCrash(mId);
            IoUtils.safeClose(exchange.getConnection());
            crash();
            return;
        }
        long window = Math.floorDiv(System.currentTimeMillis(), mWindowMs);
        mObservations.recordRun(id, StandInServer.header(exchange, "Tenant"), window);
        pause(WORK_MS);
        if (isSelected(mTruncateOneIn)) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getResponseHeaders().put(RESPONSE_DIGEST, responseDigest(id));
        LongAnswer.of(exchange.getRequestPath())
                .ifPresentOrElse(
                        answer -> answer.send(exchange),
                        () ->
                                exchange.getResponseSender()
                                        .send("echo " + echoed(body) + " of " + id));
    }

    private static String echoed(byte[] body) {
        return body.length > MAX_ECHO_BYTES
                ? body.length + " bytes"
                : new String(body, StandardCharsets.UTF_8);
    }

    private void generate(HttpServerExchange exchange, String id) {
        String last = StandInServer.header(exchange, "Last-Event-Id");
        int from = last.isEmpty() ? 0 : Integer.parseInt(last);
        long version = mVersion.get();
        exchange.getResponseHeaders().put(WEIGHT_VERSIONS, version);
        exchange.getResponseHeaders().put(RESPONSE_DIGEST, responseDigest(id));
        exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
        Optional<LongAnswer> answer = LongAnswer.of(exchange.getRequestPath());
        if (answer.isPresent()) {
            answer.get().send(exchange);
            return;
        }
        exchange.startBlocking();
        boolean isClientStream = exchange.getRequestPath().startsWith(STREAM_PREFIX);
        List<String> text =
                isClientStream ? Collections.nCopies(STREAM_EVENTS, mSoftware) : eventTexts(id);
        try (OutputStream out = exchange.getOutputStream()) {
            for (int n = from + 1; n <= text.size(); n++) {
                pause(EVENT_MS);
                boolean isChanged = mVersion.get() != version;
                version = mVersion.get();
                String event =
                        (isChanged ? "weight-versions: " + version + "\n" : "")
                                + "id: "
                                + n
                                + "\ndata: "
                                + text.get(n - 1)
                                + "\n\n";
                mObservations.recordEvent(id, n, version);
                out.write(event.getBytes(StandardCharsets.UTF_8));
                out.flush();
                if (isSelected(mTruncateOneIn)) {
                    IoUtils.safeClose(exchange.getConnection());
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has cancelled the request.
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private synchronized void restart() {
        int port = port();
        mServer.stop();
        pause(RESTART_MS);
        mServer = StandInServer.start("127.0.0.1", port, this::handle);
    }

    private boolean isSelected(int oneIn) {
        synchronized (mRandom) {
            return oneIn > 0 && mRandom.nextInt(oneIn) == 0;
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how many requests arrived. */
    int requestCount() {
        return mRequests.get();
    }

    String zone() {
        return mZone;
    }

    /** Returns how many requests arrived after the target began to say that it leaves. */
    int requestsWhileLeaving() {
        return mRequestsWhileLeaving.get();
    }

    /**
     * Returns the id.
     *
     * @return the id under which it is registered
     */
    public String id() {
        return mId;
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    public synchronized int port() {
        return StandInServer.port(mServer);
    }

    @Override
    public synchronized void close() {
        mStore.delete("servers/" + mId);
        mServer.stop();
        mExecutor.shutdownNow();
    }
}
