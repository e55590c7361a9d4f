package dev.cactusspan.side;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.concurrent.Executor;

/**
 * Keeps the weights of one engine at the desired versions. The desired versions only rise, and each
 * order carries its version as its fencing number, so that late or repeated orders have no effect.
 */
final class EngineWeights {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long POLL_MS = 500;
    private static final long TIMEOUT_MS = 60_000;
    private static final long VERSION_TIMEOUT_MS = 1_000;
    private static final long RETRY_MS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final HttpClient mHttp;
    private final URI mEngine;
    private final Executor mThread;
    private WeightVersion mDesiredStaged = WeightVersion.NONE;
    private WeightVersion mDesiredActive = WeightVersion.NONE;
    private WeightVersion mStaged = WeightVersion.NONE;
    private WeightVersion mActive = WeightVersion.NONE;
    private long mSwaps;
    private boolean mIsPollPending;
    private boolean mIsOrderPending;
    private long mNextPollMs;
    private long mNextOrderMs;

    EngineWeights(HttpClient http, URI engine, Executor thread) {
        mHttp = http;
        mEngine = engine;
        mThread = thread;
    }

    /** Raises the desired versions. Lower versions than the present ones are ignored. */
    void raiseDesired(WeightVersion staged, WeightVersion active, long nowMs) {
        mDesiredStaged = staged.isAfter(mDesiredStaged) ? staged : mDesiredStaged;
        mDesiredActive = active.isAfter(mDesiredActive) ? active : mDesiredActive;
        sendNextOrder(nowMs);
    }

    void tick(long nowMs) {
        if (!mIsPollPending && nowMs >= mNextPollMs) {
            poll(nowMs);
        }
        sendNextOrder(nowMs);
    }

    private void poll(long nowMs) {
        mIsPollPending = true;
        mNextPollMs = nowMs + POLL_MS;
        HttpRequest request = HttpRequest.get(mEngine, "/version", VERSION_TIMEOUT_MS);
        FutureResults.deliver(mHttp.collect(request, MAX_RESPONSE_BYTES), mThread, this::onPolled);
    }

    private void onPolled(Result<HttpResponse> result) {
        mIsPollPending = false;
        Result<EngineVersion> version =
                result.flatMap(response -> JsonText.read(response.body(), EngineVersion.class));
        EngineVersion seen = version.getOrElse(EngineVersion.UNKNOWN);
        mActive = WeightVersion.of(Math.max(0, seen.active()));
        mStaged = WeightVersion.of(Math.max(0, seen.staged()));
    }

    private void sendNextOrder(long nowMs) {
        boolean isKnown = !mActive.equals(WeightVersion.NONE);
        if (mIsOrderPending || !isKnown || nowMs < mNextOrderMs) {
            return;
        }
        WeightVersion toStage =
                mDesiredActive.isAfter(mDesiredStaged) ? mDesiredActive : mDesiredStaged;
        if (toStage.isAfter(mStaged) && toStage.isAfter(mActive)) {
            sendOrder("/weights/stage", toStage, nowMs);
            return;
        }
        if (mDesiredActive.isAfter(mActive)) {
            mSwaps++;
            sendOrder("/weights/activate", mDesiredActive, nowMs);
        }
    }

    private void sendOrder(String path, WeightVersion version, long nowMs) {
        mIsOrderPending = true;
        byte[] body = JsonText.write(new WeightOrder(version.number(), version.number()));
        HttpRequest request = HttpRequest.json("POST", mEngine, path, body, TIMEOUT_MS);
        FutureResults.deliver(
                mHttp.collect(request, MAX_RESPONSE_BYTES),
                mThread,
                r -> onOrderCompleted(path, version, r, nowMs));
    }

    private void onOrderCompleted(
            String path, WeightVersion version, Result<HttpResponse> result, long sentMs) {
        mIsOrderPending = false;
        boolean isDone = result.map(HttpResponse::isSuccess).getOrElse(false);
        if (!isDone) {
            mNextOrderMs = sentMs + RETRY_MS;
            sLog.atWarning().log("order %s of version %s failed: %s", path, version, result);
            return;
        }
        if (path.endsWith("stage")) {
            mStaged = version;
            sendNextOrder(sentMs);
            return;
        }
        mActive = version;
        sLog.atInfo().log("weight version %s is active", version);
    }

    /** Returns the active version, zero if it is not known. */
    WeightVersion active() {
        return mActive;
    }

    /** Returns the number of activations ordered since the start. */
    long swaps() {
        return mSwaps;
    }

    private record EngineVersion(long active, long staged) {
        static final EngineVersion UNKNOWN = new EngineVersion(0, 0);
    }

    private record WeightOrder(long version, long fencingNumber) {}
}
