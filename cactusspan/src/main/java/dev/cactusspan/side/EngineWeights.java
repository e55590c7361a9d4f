package dev.cactusspan.side;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.http.HttpAnswer;
import dev.cactusspan.http.HttpCall;
import dev.cactusspan.http.HttpCaller;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.concurrent.Executor;

/**
 * Keeps the weights of one engine at the wanted versions. The wanted versions only rise, and each
 * order carries its version as its number, so that late or repeated orders do nothing.
 */
final class EngineWeights {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long POLL_MS = 500;
    private static final long TIMEOUT_MS = 60_000;
    private static final long VERSION_TIMEOUT_MS = 1_000;
    private static final long RETRY_MS = 1_000;
    private static final int MAX_ANSWER_BYTES = 64 << 10;

    private final HttpCaller mHttp;
    private final URI mEngine;
    private final Executor mThread;
    private WeightVersion mWantedStaged = WeightVersion.NONE;
    private WeightVersion mWantedActive = WeightVersion.NONE;
    private WeightVersion mStaged = WeightVersion.NONE;
    private WeightVersion mActive = WeightVersion.NONE;
    private long mSwaps;
    private boolean mIsPolling;
    private boolean mIsOrdering;
    private long mNextPollMs;
    private long mNextOrderMs;

    EngineWeights(HttpCaller http, URI engine, Executor thread) {
        mHttp = http;
        mEngine = engine;
        mThread = thread;
    }

    /** Raises the wanted versions. */
    void want(WeightVersion staged, WeightVersion active, long nowMs) {
        mWantedStaged = staged.isAfter(mWantedStaged) ? staged : mWantedStaged;
        mWantedActive = active.isAfter(mWantedActive) ? active : mWantedActive;
        order(nowMs);
    }

    void tick(long nowMs) {
        if (!mIsPolling && nowMs >= mNextPollMs) {
            poll(nowMs);
        }
        order(nowMs);
    }

    private void poll(long nowMs) {
        mIsPolling = true;
        mNextPollMs = nowMs + POLL_MS;
        HttpCall call = HttpCall.get(mEngine, "/version", VERSION_TIMEOUT_MS);
        FutureResults.deliver(mHttp.collect(call, MAX_ANSWER_BYTES), mThread, this::polled);
    }

    private void polled(Result<HttpAnswer> result) {
        mIsPolling = false;
        Result<EngineVersion> version =
                result.flatMap(answer -> JsonText.read(answer.body(), EngineVersion.class));
        EngineVersion seen = version.getOrElse(EngineVersion.UNKNOWN);
        mActive = WeightVersion.of(Math.max(0, seen.active()));
        mStaged = WeightVersion.of(Math.max(0, seen.staged()));
    }

    private void order(long nowMs) {
        boolean isKnown = !mActive.equals(WeightVersion.NONE);
        if (mIsOrdering || !isKnown || nowMs < mNextOrderMs) {
            return;
        }
        WeightVersion toStage =
                mWantedActive.isAfter(mWantedStaged) ? mWantedActive : mWantedStaged;
        if (toStage.isAfter(mStaged) && toStage.isAfter(mActive)) {
            send("/weights/stage", toStage, nowMs);
            return;
        }
        if (mWantedActive.isAfter(mActive)) {
            mSwaps++;
            send("/weights/activate", mWantedActive, nowMs);
        }
    }

    private void send(String path, WeightVersion version, long nowMs) {
        mIsOrdering = true;
        byte[] body = JsonText.write(new WeightOrder(version.number(), version.number()));
        HttpCall call = HttpCall.json("POST", mEngine, path, body, TIMEOUT_MS);
        FutureResults.deliver(
                mHttp.collect(call, MAX_ANSWER_BYTES),
                mThread,
                r -> ordered(path, version, r, nowMs));
    }

    private void ordered(
            String path, WeightVersion version, Result<HttpAnswer> result, long sentMs) {
        mIsOrdering = false;
        boolean isDone = result.map(HttpAnswer::isSuccess).getOrElse(false);
        if (!isDone) {
            mNextOrderMs = sentMs + RETRY_MS;
            sLog.atWarning().log("order %s of version %s failed: %s", path, version, result);
            return;
        }
        if (path.endsWith("stage")) {
            mStaged = version;
            order(sentMs);
            return;
        }
        mActive = version;
        sLog.atInfo().log("version %s is active", version);
    }

    /** Returns the version in force, zero if it is not known. */
    WeightVersion active() {
        return mActive;
    }

    /** Returns how many swaps were ordered since the start. */
    long swaps() {
        return mSwaps;
    }

    private record EngineVersion(long active, long staged) {
        static final EngineVersion UNKNOWN = new EngineVersion(0, 0);
    }

    private record WeightOrder(long version, long fencingNumber) {}
}
