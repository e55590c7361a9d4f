package dev.cactusspan.gateway;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.observe.AdminServer;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.PlatformReader;
import dev.cactusspan.platform.PlatformStore;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** A process on a VM with a disk. It stores no data, so the VM can be retired at any time. */
public final class StorageProcess implements AutoCloseable {
    private static final int QUEUE_TASKS = 256;
    private static final long TICK_MS = 200;

    /** Bounds of the delay after a failed call, in milliseconds. */
    /**
     * Time within which a request to empty the VM is known after the connection to the store is
     * restored, in milliseconds. The platform allows many seconds for it.
     */
    private static final long RECONNECT_MS = 10_000;

    private static final long BACKOFF_BASE_MS = 100;

    private static final long BACKOFF_MAX_MS = 1_000;

    private final GatewaySettings mSettings;
    private final HttpClient mHttp;
    private final TaskThread mThread = new TaskThread("storage", QUEUE_TASKS, TICK_MS);
    private final KeyStore mStore;
    private final PrefixMirror mRetireRequests;
    private final AdminServer mAdmin;
    private boolean mIsRetireRequested;
    private boolean mIsResponding;

    /**
     * Creates a process; {@link #start} starts it.
     *
     * @param settings its settings
     * @param telemetry its metrics
     * @throws IOException if its threads cannot be started
     */
    public StorageProcess(GatewaySettings settings, Telemetry telemetry) throws IOException {
        mSettings = settings;
        mHttp = HttpClient.create();
        URI store = URI.create("http://" + settings.storeAddress());
        mStore = new PlatformStore(mHttp, store, telemetry);
        mRetireRequests =
                new PrefixMirror(
                        mStore,
                        PlatformReader.RETIRE_PREFIX + settings.vm().value(),
                        mThread,
                        new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, new SplittableRandom()),
                        RECONNECT_MS,
                        StorageProcess::nowMs,
                        this::retireRequestChanged);
        mAdmin =
                new AdminServer(
                        settings.ip(), settings.metricsPort(), telemetry, () -> true, List::of);
    }

    /** Starts the process. */
    public void start() {
        mAdmin.start();
        mThread.start(this::tick);
        Decision.of("started").with("vm", mSettings.vm().value()).info();
    }

    private void retireRequestChanged(String key, Optional<StoredItem> item) {
        mIsRetireRequested = item.isPresent();
    }

    private void tick() {
        mRetireRequests.tick();
        if (!mIsRetireRequested || mIsResponding) {
            return;
        }
        mIsResponding = true;
        String key = PlatformReader.RETIRE_STATUS_PREFIX + mSettings.vm().value();
        Transaction write =
                Transaction.of(
                        List.of(),
                        List.of(new Transaction.Write(key, PlatformReader.retiredStatus(), 0)));
        FutureResults.deliver(
                mStore.commit(write),
                mThread,
                r -> {
                    mIsResponding = false;
                    mIsRetireRequested = !r.isOk();
                    Decision.of("retired")
                            .with("vm", mSettings.vm().value())
                            .with("is_written", r.isOk())
                            .info();
                });
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        Decision.of("stopped").with("vm", mSettings.vm().value()).info();
        mThread.close();
        mAdmin.close();
        mHttp.close();
    }
}
