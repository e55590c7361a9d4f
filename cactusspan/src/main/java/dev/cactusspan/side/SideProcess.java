package dev.cactusspan.side;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.id.Revision;
import dev.cactusspan.limit.FairQueue;
import dev.cactusspan.link.DrainLatch;
import dev.cactusspan.link.Link;
import dev.cactusspan.link.LinkListener;
import dev.cactusspan.link.LinkReactor;
import dev.cactusspan.link.LinkSettings;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.observe.AdminServer;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.HttpKeyValueService;
import dev.cactusspan.settings.SideSettings;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** The process that runs beside a target. All requests to the target pass through it. */
public final class SideProcess implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int RING_TASKS = 16_384;
    private static final long TICK_MS = 50;
    private static final long LOAD_REPORT_MS = 500;

    private final SideSettings mSettings;
    private final HttpClient mHttp;
    private final LinkReactor mLinks;
    private final TaskThread mThread;
    private final EngineWeights mWeights;
    private final TargetDispatcher mDispatcher;
    private final OrderGuard mOrderGuard;
    private final AdminServer mAdmin;
    private final long mIncarnation = System.nanoTime();
    private final Map<Link, LoadReportSchedule> mEntries = new HashMap<>();
    private final AtomicReference<Revision> mRevision = new AtomicReference<>(Revision.NONE);
    private final AtomicReference<Message.Load> mLastLoad;
    private final DrainLatch mDrained = new DrainLatch();
    private boolean mIsLeaving;

    /**
     * Creates a side process. It runs after {@link #start}.
     *
     * @param settings its settings
     * @param telemetry its metrics
     * @throws IOException if its threads cannot be started
     */
    public SideProcess(SideSettings settings, Telemetry telemetry) throws IOException {
        mSettings = settings;
        mHttp = HttpClient.create();
        mThread = new TaskThread("side", RING_TASKS, TICK_MS);
        mWeights = new EngineWeights(mHttp, settings.targetUrl(), mThread);
        mDispatcher =
                new TargetDispatcher(
                        settings,
                        mHttp,
                        new FairQueue<>(settings.queueRequests()),
                        mThread,
                        telemetry,
                        mWeights,
                        SideProcess::nowMs);
        mOrderGuard =
                new OrderGuard(
                        settings.environment(),
                        new HttpKeyValueService(mHttp, settings.platformUrl()),
                        mThread);
        mLastLoad = new AtomicReference<>(mDispatcher.load());
        mLinks =
                new LinkReactor(
                        LinkSettings.STANDARD,
                        mRevision::get,
                        () -> new Message.Heartbeat(0, false));
        mAdmin =
                new AdminServer(
                        settings.ip(),
                        settings.adminPort(),
                        telemetry,
                        () -> !mLastLoad.get().leaving(),
                        mLastLoad::get);
        telemetry.gauge("side_in_flight_requests", () -> mLastLoad.get().inFlight());
        telemetry.gauge("side_queued_requests", () -> mLastLoad.get().queued());
        telemetry.gauge("link_sent_bytes", mLinks::sentBytes);
        telemetry.gauge("link_received_bytes", mLinks::receivedBytes);
        telemetry.gauge("side_weight_version", () -> mLastLoad.get().version().number());
    }

    // Operations

    /**
     * Starts the process.
     *
     * @return the port that accepts links
     * @throws IOException if an address cannot be bound
     */
    public int start() throws IOException {
        mThread.start(this::tick);
        mLinks.start(new SideListener());
        int port = mLinks.listen(new InetSocketAddress(mSettings.ip(), mSettings.linkPort()));
        mAdmin.start();
        sLog.atInfo().log(
                "side process of target %s (%s) listens for links on port %d",
                mSettings.target(), mSettings.service(), port);
        return port;
    }

    /** Refuses new requests and waits for those in progress, up to the drain time-out. */
    public void drain() {
        mThread.execute(
                () -> {
                    mIsLeaving = true;
                    mDispatcher.leave();
                    reportLoad(true);
                });
        mDrained.await(mSettings.drainMs());
    }

    private void tick() {
        mDispatcher.tick();
        if (mSettings.kind() == SideSettings.Kind.ENGINE) {
            mWeights.tick(nowMs());
        }
        reportLoad(false);
        if (mIsLeaving && mDispatcher.isIdle()) {
            mDrained.drained();
        }
    }

    /** Reports load to each entry at its interval, and at once if urgent or the weights changed. */
    private void reportLoad(boolean isUrgent) {
        Message.Load load = mDispatcher.load();
        boolean isNewVersion = !load.version().equals(mLastLoad.get().version());
        mLastLoad.set(load);
        long nowMs = nowMs();
        mEntries.forEach(
                (link, schedule) -> {
                    if (schedule.markSentIfDue(load, nowMs, isUrgent || isNewVersion)) {
                        link.send(load);
                    }
                });
    }

    private void handle(Link link, Frame frame) {
        mRevision.accumulateAndGet(frame.revision(), (a, b) -> b.isAfter(a) ? b : a);
        Message message = frame.message();
        if (message instanceof Message.EntryHello hello) {
            onHello(link, hello);
            return;
        }
        if (!mEntries.containsKey(link)) {
            link.close("expected a greeting first");
            return;
        }
        if (message instanceof Message.Submit submit) {
            mDispatcher.submit(link, submit);
        } else if (message instanceof Message.Cancel cancel) {
            mDispatcher.cancel(link, cancel.stream());
        } else if (message instanceof Message.ReportEvery request) {
            mEntries.put(
                    link, new LoadReportSchedule(Math.max(LOAD_REPORT_MS, request.intervalMs())));
        } else if (message instanceof Message.DesiredWeights desired) {
            raiseDesiredWeights(desired);
        } else if (message instanceof Message.Leave leave) {
            mOrderGuard.verify(leave, this::leave);
        } else if (!(message instanceof Message.Heartbeat)) {
            link.close("unexpected " + message.getClass().getSimpleName());
        }
    }

    private void onHello(Link link, Message.EntryHello hello) {
        if (!hello.environment().equals(mSettings.environment())) {
            link.close("entry serves environment " + hello.environment());
            return;
        }
        mEntries.put(link, new LoadReportSchedule(LOAD_REPORT_MS));
        link.send(
                new Message.SideHello(
                        mSettings.environment(),
                        mSettings.service(),
                        mSettings.target(),
                        mSettings.vm(),
                        mSettings.zone(),
                        mIncarnation));
        link.send(mDispatcher.load());
    }

    private void leave() {
        mDispatcher.leave();
        reportLoad(true);
    }

    private void raiseDesiredWeights(Message.DesiredWeights desired) {
        if (desired.service().equals(mSettings.service())) {
            mWeights.raiseDesired(desired.staged(), desired.active(), nowMs());
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mAdmin.close();
        mLinks.close();
        mThread.close();
        mHttp.close();
    }

    /** Runs link events on the thread of the process. */
    private final class SideListener implements LinkListener {
        @Override
        public void onUp(Link link) {
            sLog.atFine().log("accepted link from %s", link.remote());
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            mThread.execute(() -> handle(link, frame));
        }

        @Override
        public void onDown(Link link, String reason) {
            mThread.execute(
                    () -> {
                        mEntries.remove(link);
                        mDispatcher.linkDown(link);
                    });
        }
    }
}
