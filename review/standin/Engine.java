import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model worker: streams the text of an item, resumes it after an event, and takes orders of
 * weight versions. Every worker makes the same text for an item.
 */
class Engine {
    static final String MODEL = "daka510000";
    /** Time that a worker takes to load a version of the weights. */
    private static final long LOAD_MS = 900;

    final String id;
    final int slots;
    private final int mEventBytes;
    private final long mEventMs;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicLong mSequence = new AtomicLong();
    private volatile long mVersion = 1;
    private volatile boolean mIsLoading;
    private Runnable mReport = () -> {};

    /**
     * Creates a worker.
     *
     * @param id its id
     * @param slots how many items it runs at once
     * @param eventBytes length of the text of an event
     * @param eventMs time that it takes to make an event
     */
    Engine(String id, int slots, int eventBytes, long eventMs) {
        this.id = id;
        this.slots = slots;
        mEventBytes = eventBytes;
        mEventMs = eventMs;
    }

    /** Registers this worker at its address, and again when its version changes. */
    void register(Deployment deployment, String service, String address) {
        mReport =
                () ->
                        deployment.register(
                                id,
                                service,
                                address,
                                slots,
                                Map.of(
                                        "models",
                                        List.of(Map.of("name", MODEL, "version", mVersion))));
        mReport.run();
    }

    /** Returns the text of an event of an item: characters that do not compress well. */
    static String eventText(String item, int event, int bytes) {
        Random random = new Random(item.hashCode() * 31L + event);
        StringBuilder text = new StringBuilder(bytes);
        for (int i = 0; i < bytes; i++) {
            text.append((char) ('0' + random.nextInt(75)));
        }
        return text.toString();
    }

    void handle(Http.Connection connection, Http.Message request) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.target().equals("/-/report")) {
            connection.write(Http.response(200, headers, Store.JSON.writeValueAsBytes(report())));
            return;
        }
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("Not-Executed", "1");
            connection.write(Http.response(421, headers, new byte[0]));
            return;
        }
        if (request.target().equals("/-/order")) {
            int status = order(Store.JSON.readTree(request.body));
            connection.write(Http.response(status, headers, new byte[0]));
            return;
        }
        String item = request.header("Attempt-Id");
        if (item.isEmpty()) {
            headers.put("Not-Executed", "1");
            connection.write(Http.response(400, headers, new byte[0]));
            return;
        }
        headers.put("Attempt-Id", item);
        if (mRunning.incrementAndGet() > slots || mIsLoading) {
            mRunning.decrementAndGet();
            headers.put("Not-Executed", "1");
            connection.write(Http.response(503, headers, new byte[0]));
            return;
        }
        try {
            run(connection, request, item, headers);
        } finally {
            mRunning.decrementAndGet();
        }
    }

    /** Takes an order of a version, in the mode in which runs continue under the new version. */
    private synchronized int order(JsonNode order) {
        long version = order.path("version").asLong();
        if (mIsLoading || order.path("expected").asLong() != mSequence.get()) {
            return 409;
        } else if (version <= mVersion) {
            return 200;
        }
        mSequence.incrementAndGet();
        mIsLoading = true;
        Http.daemon(
                "load",
                () -> {
                    try {
                        Thread.sleep(LOAD_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    mVersion = version;
                    mIsLoading = false;
                    mReport.run();
                });
        return 202;
    }

    /** Runs an item; streams its whole text. */
    void run(
            Http.Connection connection,
            Http.Message request,
            String item,
            Map<String, String> headers)
            throws IOException, InterruptedException {
        stream(connection, request, item, headers);
    }

    final void stream(
            Http.Connection connection,
            Http.Message request,
            String item,
            Map<String, String> headers)
            throws IOException, InterruptedException {
        headers.put("Server-Stamp", "3e1b.07." + item);
        long version = mVersion;
        headers.put("Weight-Versions", Long.toString(version));
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        connection.write(Http.utf8(head + "\r\n"));
        String last = request.header("Last-Event-Id");
        int events = eventCount(request);
        for (int n = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; n <= events; n++) {
            Thread.sleep(mEventMs);
            boolean isChanged = mVersion != version;
            version = mVersion;
            String event =
                    (isChanged ? "weight-versions: " + version + "\n" : "")
                            + "id: "
                            + n
                            + "\ndata: "
                            + eventText(item, n, mEventBytes)
                            + "\n\n";
            String size = Integer.toHexString(event.length());
            connection.write(Http.utf8(size + "\r\n" + event + "\r\n"));
        }
        connection.write(Http.utf8("0\r\n\r\n"));
    }

    /** Returns the number of events of an item: its maximum number of output tokens. */
    static int eventCount(Http.Message request) {
        return Integer.parseInt(request.header("Token-Usage").split(",")[1]);
    }

    int running() {
        return mRunning.get();
    }

    private Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("stage", "both");
        report.put("models", List.of(Map.of("name", MODEL, "version", mVersion)));
        report.put("busy", mIsLoading);
        report.put("sequence", mSequence.get());
        report.put("waiting", 0);
        report.put("running", mRunning.get());
        return report;
    }
}
