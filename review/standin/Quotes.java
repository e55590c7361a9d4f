import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send small idempotent requests on kept connections, plain workers that run them, and
 * the checks of LOST and CONFIG on what both see.
 */
final class Quotes {
    static final String PATH = "/quotes930/2f";
    static final String SERVICE = "wuno96b";

    /** The route's {@code timeout_ms}. */
    static final int ROUTE_TIMEOUT_MS = 1_200;

    /** Time after the route's timeout by which an answer is due, by the rule CONFIG. */
    private static final int CONFIG_SLACK_MS = 500;

    private static final int CLIENT_TIMEOUT_MS = 3_000;
    private static final long WORK_MS = 100;
    private static final int MAX_THINK_MS = 100;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final Set<String> mRuns = ConcurrentHashMap.newKeySet();
    private final List<Thread> mClients = new ArrayList<>();
    private final AtomicInteger mSent = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mLateAtTimeout = new AtomicInteger();
    private final AtomicInteger mLateAfterSlack = new AtomicInteger();
    private volatile boolean mIsStopped;

    Quotes(Deployment deployment, Record record) {
        mDeployment = deployment;
        mRecord = record;
    }

    static Map<String, Object> route() {
        Map<String, Object> route =
                Deployment.route("r-quote", "/quotes930/", "idempotent", SERVICE, 2);
        route.put("timeout_ms", ROUTE_TIMEOUT_MS);
        route.put("slo_ms", 235);
        return route;
    }

    static Map<String, Object> service() {
        return Map.of("name", SERVICE, "health_path", "/healthz", "max_connections", 100);
    }

    void startWorkers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String id = "i-quote" + i;
            Http.Server server =
                    new Http.Server(
                            mDeployment.workerIp(30 + i),
                            0,
                            (connection, request) -> run(id, connection, request));
            mDeployment.register(id, SERVICE, server.address(), 20, Map.of());
        }
    }

    private void run(String worker, Http.Connection connection, Http.Message request)
            throws IOException, InterruptedException {
        String id = request.header("Attempt-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Attempt-Id", id);
        if (!request.header("Expect-Instance").equals(worker)) {
            headers.put("Not-Executed", "1");
            connection.write(Http.response(421, headers, new byte[0]));
            return;
        }
        mRecord.add("%s runs %s with a body of %d bytes", worker, id, request.body.length);
        mRuns.add(id);
        Thread.sleep(WORK_MS);
        headers.put("Server-Stamp", "3e1b.07." + id);
        connection.write(Http.response(200, headers, Http.utf8("quote " + id)));
    }

    void startClients(int count) {
        for (int i = 0; i < count; i++) {
            int number = i;
            Thread client = new Thread(() -> runClient(number), "client-" + i);
            client.setDaemon(true);
            client.start();
            mClients.add(client);
        }
    }

    void stopClients() throws InterruptedException {
        mIsStopped = true;
        for (Thread client : mClients) {
            client.join(5_000);
        }
    }

    private void runClient(int number) {
        Random random = new Random(number);
        Deployment.Entry entry = mDeployment.entries.get(number % mDeployment.entries.size());
        Http.Connection connection = null;
        boolean isKept = false;
        int count = 0;
        while (!mIsStopped) {
            String id = String.format("%04x%012x", 0xa000 + number, ++count);
            try {
                if (connection == null) {
                    connection = Http.Connection.open(entry.clientAddress(), CLIENT_TIMEOUT_MS);
                    isKept = false;
                }
                if (send(connection, entry, id, isKept)) {
                    isKept = true;
                } else {
                    connection.close();
                    connection = null;
                }
                Thread.sleep(random.nextInt(MAX_THINK_MS));
            } catch (IOException e) {
                // The entry does not listen at present.
                entry = anyReadyEntry(entry);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Deployment.Entry anyReadyEntry(Deployment.Entry present) {
        return mDeployment.entries.stream()
                .filter(e -> e != present && e.isReady())
                .findAny()
                .orElse(present);
    }

    /** Sends a request; returns whether the connection can be kept. */
    private boolean send(
            Http.Connection connection, Deployment.Entry entry, String id, boolean isKept) {
        long startMs = Store.nowMs();
        mSent.incrementAndGet();
        mRecord.add("%s goes to %s on a %s connection", id, entry.name, isKept ? "kept" : "new");
        String outcome;
        boolean isAnswered = false;
        try {
            connection.write(
                    Http.bytes(
                            "POST " + PATH + " HTTP/1.1",
                            Map.of(
                                    "Host", Deployment.HOST,
                                    "Attempt-Id", id,
                                    "Deadline-Ms", Integer.toString(CLIENT_TIMEOUT_MS),
                                    "X-Api-Key", "key-1"),
                            new byte[600]));
            int status = Http.read(connection, false).status();
            outcome = "is answered " + status;
            isAnswered = true;
            if (status == 200) {
                mServed.incrementAndGet();
            }
        } catch (java.net.SocketTimeoutException e) {
            outcome = "has no answer at its deadline";
        } catch (IOException e) {
            outcome = "has no answer, its connection is closed";
            if (isKept && mRuns.contains(id)) {
                mLost.incrementAndGet();
                outcome += ", after it was passed on to a worker";
            }
        }
        long tookMs = Store.nowMs() - startMs;
        if (tookMs > ROUTE_TIMEOUT_MS) {
            mLateAtTimeout.incrementAndGet();
        }
        if (tookMs > ROUTE_TIMEOUT_MS + CONFIG_SLACK_MS) {
            mLateAfterSlack.incrementAndGet();
        }
        mRecord.add("%s %s after %d ms", id, outcome, tookMs);
        return isAnswered;
    }

    /** Reports the counts; returns whether LOST or CONFIG is broken. */
    boolean isRuleBroken() {
        mRecord.report(
                "small requests: %d sent, %d answered 200", mSent.get(), mServed.get());
        mRecord.report(
                "LOST: %d requests from kept connections were passed on to a sound worker and their"
                        + " connection was closed without an answer (3 are allowed)",
                mLost.get());
        mRecord.report(
                "CONFIG: %d requests had no answer at the route's timeout_ms, %d of them none half a"
                        + " second later (8 and more than half break the rule)",
                mLateAtTimeout.get(), mLateAfterSlack.get());
        boolean isConfigBroken =
                mLateAfterSlack.get() >= 8 && 2 * mLateAfterSlack.get() > mLateAtTimeout.get();
        return mLost.get() > 3 || isConfigBroken;
    }

    int served() {
        return mServed.get();
    }
}
