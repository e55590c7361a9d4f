package dev.cactusspan.forward;

import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Decision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Keeps requests that crash targets away from further ones. Load pattern: a request crashes each
 * target that runs it, and comes again at any process, so that every other request of the service
 * is refused while its targets start again.
 *
 * <p>A run whose connection is lost is suspected to have crashed its target, unless the target was
 * failing before. The processes share such crashes, and quarantine a request after {@link
 * #MAX_CRASHES}. A success of the request clears it; a crash is dismissed if its target answers
 * another request shortly afterwards.
 */
public final class CrashGuard {
    /** Number of crashes after which a request is quarantined. */
    static final int MAX_CRASHES = 3;

    /**
     * Time after the crash before the last one allowed, in which the request is refused, in
     * milliseconds. A crashed target is usually back by then, so that one request does not take all
     * targets of a small service away at the same time.
     */
    static final long COOL_DOWN_MS = 4_000;

    /** How long a request stays in quarantine, in milliseconds. */
    static final long QUARANTINE_MS = 3_600_000;

    /**
     * A target that answers a request that was sent within this time after a crash has not crashed,
     * in milliseconds. It is shorter than any restart.
     */
    private static final long ALIVE_MS = 800;

    /** Time after which a crash is forgotten, in milliseconds. */
    private static final long CRASH_TTL_MS = 600_000;

    /** Maximum number of suspected requests; beyond it, the oldest is dropped. */
    private static final int MAX_SUSPECTS = 4_096;

    private final Map<RequestFingerprint, Suspect> mSuspects = new LinkedHashMap<>();
    private final List<Report> mReports = new ArrayList<>();
    private final String mSelf;
    private long mNextCrash;

    /**
     * Creates a guard.
     *
     * @param self name of this process, unique to this start
     */
    public CrashGuard(String self) {
        mSelf = self;
    }

    /** News for the other processes. */
    public sealed interface Report {
        /**
         * A suspected crash.
         *
         * @param fingerprint the request
         * @param crash id of the crash
         * @param target the target that is suspected to have crashed
         */
        record Crash(RequestFingerprint fingerprint, String crash, TargetId target)
                implements Report {}

        /**
         * A request that crashed too many targets.
         *
         * @param fingerprint the request
         */
        record Quarantine(RequestFingerprint fingerprint) implements Report {}

        /**
         * A quarantine whose time is over.
         *
         * @param fingerprint the request
         */
        record Released(RequestFingerprint fingerprint) implements Report {}

        /**
         * Crashes that a success of the request has disproved.
         *
         * @param fingerprint the request
         * @param crashes ids of the crashes
         */
        record Cleared(RequestFingerprint fingerprint, List<String> crashes) implements Report {}
    }

    private record Crash(TargetId target, long atMs) {}

    private static final class Suspect {
        private final Map<String, Crash> mCrashes = new HashMap<>();
        private OptionalLong mQuarantinedMs = OptionalLong.empty();

        long refusedUntilMs() {
            if (mQuarantinedMs.isPresent()) {
                return mQuarantinedMs.getAsLong() + QUARANTINE_MS;
            }
            return mCrashes.size() < MAX_CRASHES - 1
                    ? Long.MIN_VALUE
                    : mCrashes.values().stream()
                            .mapToLong(crash -> crash.atMs() + COOL_DOWN_MS)
                            .max()
                            .orElse(Long.MIN_VALUE);
        }

        boolean isObsolete(long nowMs) {
            return mQuarantinedMs.isPresent()
                    ? nowMs - mQuarantinedMs.getAsLong() >= QUARANTINE_MS
                    : mCrashes.isEmpty();
        }
    }

    // Own requests

    /**
     * Records that the connection was lost while a target ran a request, and reports it at once:
     * the same request may come to another process within a few hundred milliseconds.
     *
     * @param fingerprint the request
     * @param target the target
     * @param nowMs monotonic clock in milliseconds
     */
    void recordCrash(RequestFingerprint fingerprint, TargetId target, long nowMs) {
        Suspect suspect = suspect(fingerprint);
        String crash = target.value() + "@" + mSelf + "." + mNextCrash++;
        suspect.mCrashes.put(crash, new Crash(target, nowMs));
        mReports.add(new Report.Crash(fingerprint, crash, target));
        quarantineIfDue(fingerprint, suspect, nowMs);
    }

    /**
     * Records that a target completed a request, which proves that it crashes none.
     *
     * @param fingerprint the request
     */
    void recordSuccess(RequestFingerprint fingerprint) {
        Suspect suspect = mSuspects.remove(fingerprint);
        if (suspect != null && !suspect.mCrashes.isEmpty()) {
            mReports.add(new Report.Cleared(fingerprint, List.copyOf(suspect.mCrashes.keySet())));
        }
    }

    /**
     * Records that a target answered a request, which dismisses suspected crashes of it.
     *
     * @param target the target
     * @param sentMs when the request was sent, in milliseconds of the monotonic clock
     */
    void recordAnswer(TargetId target, long sentMs) {
        for (Suspect suspect : mSuspects.values()) {
            if (suspect.mQuarantinedMs.isEmpty()) {
                suspect.mCrashes.values().removeIf(c -> isDisproved(c, target, sentMs));
            }
        }
    }

    private static boolean isDisproved(Crash crash, TargetId target, long sentMs) {
        return crash.target().equals(target)
                && crash.atMs() < sentMs
                && sentMs <= crash.atMs() + ALIVE_MS;
    }

    private Suspect suspect(RequestFingerprint fingerprint) {
        Suspect suspect = mSuspects.computeIfAbsent(fingerprint, f -> new Suspect());
        if (mSuspects.size() > MAX_SUSPECTS) {
            mSuspects.remove(mSuspects.keySet().iterator().next());
        }
        return suspect;
    }

    private void quarantineIfDue(RequestFingerprint fingerprint, Suspect suspect, long nowMs) {
        if (suspect.mQuarantinedMs.isEmpty() && suspect.mCrashes.size() >= MAX_CRASHES) {
            mReports.add(new Report.Quarantine(fingerprint));
            quarantine(fingerprint, suspect, nowMs);
        }
    }

    private static void quarantine(RequestFingerprint fingerprint, Suspect suspect, long nowMs) {
        suspect.mQuarantinedMs = OptionalLong.of(nowMs);
        Decision.of("request_quarantined")
                .with("fingerprint", fingerprint.value())
                .with("crashes", suspect.mCrashes.size())
                .warn();
    }

    // News from the store

    /**
     * Handles a crash that a process has shared.
     *
     * @param fingerprint the request
     * @param crash id of the crash
     * @param target the target that is suspected to have crashed
     * @param nowMs monotonic clock in milliseconds
     */
    public void onCrash(RequestFingerprint fingerprint, String crash, TargetId target, long nowMs) {
        Suspect suspect = suspect(fingerprint);
        suspect.mCrashes.putIfAbsent(crash, new Crash(target, nowMs));
        quarantineIfDue(fingerprint, suspect, nowMs);
    }

    /**
     * Handles that a shared crash was disproved or has expired.
     *
     * @param fingerprint the request
     * @param crash id of the crash
     */
    public void onCrashRemoved(RequestFingerprint fingerprint, String crash) {
        Suspect suspect = mSuspects.get(fingerprint);
        if (suspect != null) {
            suspect.mCrashes.remove(crash);
        }
    }

    /**
     * Handles a quarantine that a process has shared.
     *
     * @param fingerprint the request
     * @param nowMs monotonic clock in milliseconds
     */
    public void onQuarantine(RequestFingerprint fingerprint, long nowMs) {
        Suspect suspect = suspect(fingerprint);
        if (suspect.mQuarantinedMs.isEmpty()) {
            quarantine(fingerprint, suspect, nowMs);
        }
    }

    /**
     * Handles the end of a shared quarantine.
     *
     * @param fingerprint the request
     */
    public void onQuarantineRemoved(RequestFingerprint fingerprint) {
        mSuspects.remove(fingerprint);
    }

    // Time

    /**
     * Forgets crashes and quarantines whose time is over.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void tick(long nowMs) {
        for (Suspect suspect : mSuspects.values()) {
            suspect.mCrashes.values().removeIf(c -> nowMs - c.atMs() >= CRASH_TTL_MS);
        }
        mSuspects
                .entrySet()
                .removeIf(
                        e -> {
                            boolean isObsolete = e.getValue().isObsolete(nowMs);
                            if (isObsolete && e.getValue().mQuarantinedMs.isPresent()) {
                                mReports.add(new Report.Released(e.getKey()));
                            }
                            return isObsolete;
                        });
    }

    /**
     * Returns the news that the other processes need, once.
     *
     * @return the reports, in the order in which they were made
     */
    public List<Report> takeReports() {
        List<Report> reports = List.copyOf(mReports);
        mReports.clear();
        return reports;
    }

    // Accessors

    /** Returns whether any request is suspected; if not, no fingerprint needs to be computed. */
    boolean hasSuspects() {
        return !mSuspects.isEmpty();
    }

    /** Returns whether a request is suspected to have crashed a target. */
    boolean isSuspect(RequestFingerprint fingerprint) {
        return mSuspects.containsKey(fingerprint);
    }

    /**
     * Returns how long a request is not sent to any target.
     *
     * @param fingerprint the request
     * @param nowMs monotonic clock in milliseconds
     * @return milliseconds until the end of its quarantine or cool-down, empty if it may be sent
     */
    OptionalLong refusedMs(RequestFingerprint fingerprint, long nowMs) {
        Suspect suspect = mSuspects.get(fingerprint);
        long untilMs = suspect == null ? nowMs : suspect.refusedUntilMs();
        return untilMs > nowMs ? OptionalLong.of(untilMs - nowMs) : OptionalLong.empty();
    }
}
