package dev.cactusspan.gateway;

import dev.cactusspan.forward.CrashGuard;
import dev.cactusspan.forward.CrashGuard.Report;
import dev.cactusspan.forward.RequestFingerprint;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Shares the crashes that requests are suspected of through the store, so that they are known to
 * all processes and outlive a restart. Crashes expire with a lease; quarantines stay until their
 * end.
 */
final class CrashExchange {
    /** Prefix of the keys of crashes: fingerprint and crash follow, separated by a slash. */
    static final String CRASH_PREFIX = FleetView.CONTROL_PREFIX + "crash/";

    /** Prefix of the keys of quarantines; the fingerprint follows. */
    static final String QUARANTINE_PREFIX = FleetView.CONTROL_PREFIX + "quarantine/";

    /** Time to live of a crash in the store, in milliseconds; the platform's longest lease. */
    private static final long LEASE_TTL_MS = 600_000;

    /** Age after which crashes are bound to a new lease, in milliseconds. */
    private static final long LEASE_USE_MS = LEASE_TTL_MS / 2;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** Delay after a failed call while no report waits, in milliseconds. */
    private static final long IDLE_RETRY_MS = 2_000;

    /** Maximum number of reports that wait for the store; beyond it, the oldest is dropped. */
    private static final int MAX_WAITING = 512;

    /** Maximum number of reports in one call; the store takes 32 changes. */
    private static final int MAX_REPORTS = 8;

    /** Maximum number of crashes to delete for one report. */
    private static final int MAX_CLEARED = 3;

    private final CrashGuard mGuard;
    private final KeyStore mStore;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final Deque<Report> mWaiting = new ArrayDeque<>();
    private long mLease;
    private long mLeaseUntilMs;
    private boolean mIsBusy;
    private long mNextMs;

    CrashExchange(CrashGuard guard, KeyStore store, Executor thread, LongSupplier nowMs) {
        mGuard = guard;
        mStore = store;
        mThread = thread;
        mNowMs = nowMs;
    }

    // Operations

    /**
     * Writes the reports that are due. The lease is granted in advance, as the same request may
     * come again at another process within a few hundred milliseconds.
     */
    void tick() {
        long nowMs = mNowMs.getAsLong();
        mGuard.tick(nowMs);
        mWaiting.addAll(mGuard.takeReports());
        while (mWaiting.size() > MAX_WAITING) {
            mWaiting.poll();
        }
        if (mIsBusy || nowMs < mNextMs) {
            return;
        }
        if (nowMs >= mLeaseUntilMs) {
            mIsBusy = true;
            grantLease(nowMs);
        } else if (!mWaiting.isEmpty()) {
            mIsBusy = true;
            write();
        }
    }

    private void grantLease(long nowMs) {
        FutureResults.deliver(
                mStore.grantLease(LEASE_TTL_MS),
                mThread,
                r ->
                        r.fold(
                                this::onFailed,
                                lease -> {
                                    mLease = lease;
                                    mLeaseUntilMs = nowMs + LEASE_USE_MS;
                                    mIsBusy = false;
                                    return null;
                                }));
    }

    private void write() {
        boolean isRemoval = isRemoval(mWaiting.getFirst());
        List<Report> reports =
                mWaiting.stream()
                        .takeWhile(report -> isRemoval(report) == isRemoval)
                        .limit(MAX_REPORTS)
                        .toList();
        List<Transaction.Write> writes = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        for (Report report : reports) {
            addChanges(report, writes, deletes);
        }
        FutureResults.deliver(
                mStore.commit(new Transaction(List.of(), writes, deletes)),
                mThread,
                r ->
                        r.fold(
                                this::onFailed,
                                revision -> {
                                    reports.forEach(mWaiting::remove);
                                    mIsBusy = false;
                                    return null;
                                }));
    }

    /** Returns whether a report deletes keys, which an earlier report may write. */
    private static boolean isRemoval(Report report) {
        return report instanceof Report.Released || report instanceof Report.Cleared;
    }

    private void addChanges(Report report, List<Transaction.Write> writes, List<String> deletes) {
        if (report instanceof Report.Crash crash) {
            writes.add(
                    new Transaction.Write(
                            CRASH_PREFIX + crash.fingerprint().value() + "/" + crash.crash(),
                            crash.target().value().getBytes(StandardCharsets.UTF_8),
                            mLease));
        } else if (report instanceof Report.Quarantine quarantine) {
            writes.add(
                    new Transaction.Write(
                            QUARANTINE_PREFIX + quarantine.fingerprint().value(), new byte[0], 0));
        } else if (report instanceof Report.Released released) {
            deletes.add(QUARANTINE_PREFIX + released.fingerprint().value());
        } else if (report instanceof Report.Cleared cleared) {
            cleared.crashes().stream()
                    .limit(MAX_CLEARED)
                    .map(crash -> CRASH_PREFIX + cleared.fingerprint().value() + "/" + crash)
                    .forEach(deletes::add);
        }
    }

    private Void onFailed(Failure failure) {
        mIsBusy = false;
        mLeaseUntilMs = failure.kind() == ErrorKind.NOT_FOUND ? 0 : mLeaseUntilMs;
        if (mWaiting.isEmpty()) {
            mNextMs = mNowMs.getAsLong() + IDLE_RETRY_MS;
            return null;
        }
        mNextMs = mNowMs.getAsLong() + RETRY_MS;
        Decision.of("crashes_not_shared")
                .with("reports", mWaiting.size())
                .with("reason", failure.toString())
                .info();
        return null;
    }

    /** Applies a change of a key that another process or this one has written. */
    void onKeyChanged(String key, Optional<StoredItem> item) {
        if (key.startsWith(QUARANTINE_PREFIX)) {
            RequestFingerprint fingerprint =
                    new RequestFingerprint(key.substring(QUARANTINE_PREFIX.length()));
            item.ifPresentOrElse(
                    i -> mGuard.onQuarantine(fingerprint, mNowMs.getAsLong()),
                    () -> mGuard.onQuarantineRemoved(fingerprint));
            return;
        }
        int separator = key.indexOf('/', CRASH_PREFIX.length());
        if (!key.startsWith(CRASH_PREFIX) || separator < 0) {
            return;
        }
        RequestFingerprint fingerprint =
                new RequestFingerprint(key.substring(CRASH_PREFIX.length(), separator));
        String crash = key.substring(separator + 1);
        item.ifPresentOrElse(
                i ->
                        mGuard.onCrash(
                                fingerprint,
                                crash,
                                TargetId.of(new String(i.value(), StandardCharsets.UTF_8)),
                                mNowMs.getAsLong()),
                () -> mGuard.onCrashRemoved(fingerprint, crash));
    }
}
