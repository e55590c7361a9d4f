package dev.cactusspan.side;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.http.ForwardedHeaders;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.ResponseListener;
import dev.cactusspan.limit.QueuedItem;
import dev.cactusspan.limit.RequestQueue;
import dev.cactusspan.limit.WaitEstimate;
import dev.cactusspan.link.Link;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.SendFailure;
import dev.cactusspan.settings.SideSettings;
import dev.cactusspan.weight.VersionLabeler;
import dev.cactusspan.weight.VersionSpan;
import dev.cactusspan.wire.Message;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** Queues requests for a target, dispatches them to it and returns its responses. */
final class TargetDispatcher {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final double MAX_ROLLOUT_SLOT_SHARE = 0.9;

    private final SideSettings mSettings;
    private final HttpClient mHttp;
    private final RequestQueue<TargetRequest> mQueue;
    private final Executor mThread;
    private final Telemetry mTelemetry;
    private final EngineWeights mWeights;
    private final LongSupplier mNowMs;
    private final WaitEstimate mEstimate = new WaitEstimate();
    private final Map<StreamId, TargetRequest> mRequests = new HashMap<>();
    private int mInFlight;
    private int mRolloutsInFlight;
    private boolean mIsLeaving;

    TargetDispatcher(
            SideSettings settings,
            HttpClient http,
            RequestQueue<TargetRequest> queue,
            Executor thread,
            Telemetry telemetry,
            EngineWeights weights,
            LongSupplier nowMs) {
        mSettings = settings;
        mHttp = http;
        mQueue = queue;
        mThread = thread;
        mTelemetry = telemetry;
        mWeights = weights;
        mNowMs = nowMs;
    }

    // Operations

    void submit(Link link, Message.Submit submit) {
        StreamId id = new StreamId(link, submit.stream());
        TargetRequest request = new TargetRequest(link, submit, newEngineEvents(submit));
        if (mIsLeaving) {
            refuse(request, ErrorKind.SHUTTING_DOWN, "target is leaving");
            return;
        }
        if (mRequests.putIfAbsent(id, request) != null) {
            link.close("stream " + submit.stream() + " is used twice");
            return;
        }
        long deadlineMs = mNowMs.getAsLong() + submit.deadlineMs();
        QueuedItem<TargetRequest> item =
                new QueuedItem<>(
                        submit.account(),
                        submit.requestClass(),
                        submit.weight(),
                        deadlineMs,
                        request);
        int ahead = mInFlight < mSettings.slots() ? 0 : mQueue.ahead(item);
        if (mEstimate.isLate(
                submit.requestClass(), ahead, mSettings.slots(), submit.deadlineMs())) {
            refuse(request, ErrorKind.OVERLOADED, "the answer would come after the deadline");
            return;
        }
        mQueue.add(item)
                .ifPresent(
                        evicted -> refuse(evicted.item(), ErrorKind.OVERLOADED, "queue is full"));
        dispatchQueued();
    }

    private Optional<EngineEvents> newEngineEvents(Message.Submit submit) {
        if (!submit.labelled()) {
            return Optional.empty();
        }
        VersionLabeler labeler = new VersionLabeler(mWeights.active(), mWeights.swaps());
        return Optional.of(new EngineEvents(labeler));
    }

    void cancel(Link link, long stream) {
        TargetRequest request = mRequests.get(new StreamId(link, stream));
        if (request != null) {
            cancel(request);
        }
    }

    /**
     * Cancels the requests of a link that went down. A non-idempotent request that was sent to the
     * target continues, as cancelling it would leave its outcome unknown at the target too.
     */
    void linkDown(Link link) {
        List<TargetRequest> lost =
                mRequests.values().stream().filter(r -> r.link() == link).toList();
        for (TargetRequest request : new ArrayList<>(lost)) {
            cancel(request);
        }
    }

    private void cancel(TargetRequest request) {
        boolean isQueued = !mQueue.removeIf(q -> q.item() == request).isEmpty();
        if (isQueued) {
            request.apply(TargetRequestEvent.CANCEL);
            removeRequest(request);
            return;
        }
        if (request.submit().requestClass() != RequestClass.NON_IDEMPOTENT) {
            request.cancelHttpRequest();
        }
    }

    void tick() {
        long nowMs = mNowMs.getAsLong();
        mQueue.removeIf(q -> q.deadlineMs() <= nowMs)
                .forEach(
                        q ->
                                refuse(
                                        q.item(),
                                        ErrorKind.DEADLINE_BEFORE_DISPATCH,
                                        "deadline passed in the queue"));
        dispatchQueued();
    }

    /** Refuses new and queued requests. Requests that were sent to the target continue. */
    void leave() {
        mIsLeaving = true;
        mQueue.removeIf(q -> true)
                .forEach(q -> refuse(q.item(), ErrorKind.SHUTTING_DOWN, "target is leaving"));
    }

    Message.Load load() {
        return new Message.Load(
                mInFlight, mQueue.size(), mSettings.slots(), mWeights.active(), mIsLeaving);
    }

    boolean isIdle() {
        return mRequests.isEmpty();
    }

    // Dispatch

    private void dispatchQueued() {
        while (mInFlight < mSettings.slots()) {
            Optional<QueuedItem<TargetRequest>> next = mQueue.poll(this::isAdmitted);
            if (next.isEmpty()) {
                return;
            }
            if (next.get().deadlineMs() <= mNowMs.getAsLong()) {
                refuse(
                        next.get().item(),
                        ErrorKind.DEADLINE_BEFORE_DISPATCH,
                        "deadline passed in the queue");
                continue;
            }
            dispatch(next.get());
        }
    }

    /** Reserves some slots for other classes, as rollouts run long and would make them wait. */
    private boolean isAdmitted(QueuedItem<TargetRequest> item) {
        int rolloutSlots = Math.max(1, (int) (mSettings.slots() * MAX_ROLLOUT_SLOT_SHARE));
        return item.requestClass() != RequestClass.ROLLOUT || mRolloutsInFlight < rolloutSlots;
    }

    private void dispatch(QueuedItem<TargetRequest> item) {
        TargetRequest request = item.item();
        Message.Submit submit = request.submit();
        request.apply(TargetRequestEvent.DISPATCH);
        request.markDispatched(mNowMs.getAsLong());
        mInFlight++;
        mRolloutsInFlight += submit.requestClass() == RequestClass.ROLLOUT ? 1 : 0;
        HttpRequest httpRequest =
                new HttpRequest(
                        submit.method(),
                        mSettings.targetUrl(),
                        submit.path(),
                        ForwardedHeaders.filter(submit.headers()),
                        submit.body(),
                        Math.max(1, item.deadlineMs() - mNowMs.getAsLong()),
                        HttpRequest.DEFAULT_MAX_BYTES,
                        submit.requestClass() == RequestClass.NON_IDEMPOTENT);
        request.onCancel(mHttp.send(httpRequest, new DispatcherListener(request)));
    }

    private void handleHead(TargetRequest request, int status, Map<String, String> headers) {
        boolean isDelimited =
                headers.containsKey("content-length") || headers.containsKey("transfer-encoding");
        boolean hasBody = status != 204 && status != 304;
        if (!isDelimited && hasBody) {
            request.cancelHttpRequest();
            return;
        }
        if (request.apply(TargetRequestEvent.HEAD)) {
            String contentType = headers.getOrDefault("content-type", "");
            request.link().send(new Message.Head(request.submit().stream(), status, contentType));
        }
    }

    private void handleData(TargetRequest request, byte[] data) {
        if (request.isResponding()) {
            request.events().ifPresent(e -> e.feed(data));
            request.link().send(request.newChunk(data));
        }
    }

    private void handleEnd(TargetRequest request) {
        boolean isComplete = request.events().map(EngineEvents::isComplete).orElse(true);
        if (!isComplete) {
            handleFailure(request, true, "engine's end marker is missing");
            return;
        }
        if (!request.apply(TargetRequestEvent.END)) {
            return;
        }
        List<VersionSpan> labels =
                request.events()
                        .map(e -> e.labeler().finish(mWeights.active(), mWeights.swaps()))
                        .orElse(List.of());
        long stream = request.submit().stream();
        request.link()
                .send(new Message.End(stream, request.chunks(), request.responseBytes(), labels));
        mEstimate.recordDuration(
                request.submit().requestClass(), mNowMs.getAsLong() - request.dispatchedMs());
        finish(request, "ended");
    }

    private void handleFailure(TargetRequest request, boolean sent, String reason) {
        if (!sent) {
            refuseDispatched(request, reason);
            return;
        }
        if (!request.apply(TargetRequestEvent.FAIL)) {
            return;
        }
        ErrorKind kind = request.chunks() > 0 ? ErrorKind.ANSWER_CUT : ErrorKind.TARGET_FAILED;
        request.link().send(new Message.Refused(request.submit().stream(), kind, reason));
        finish(request, "failed");
    }

    private void refuseDispatched(TargetRequest request, String reason) {
        if (request.apply(TargetRequestEvent.REFUSE)) {
            long stream = request.submit().stream();
            request.link().send(new Message.Refused(stream, ErrorKind.NO_TARGET, reason));
            finish(request, "refused");
        }
    }

    private void finish(TargetRequest request, String outcome) {
        mInFlight--;
        boolean isRollout = request.submit().requestClass() == RequestClass.ROLLOUT;
        mRolloutsInFlight -= isRollout ? 1 : 0;
        removeRequest(request);
        mTelemetry.count("side_requests_total", "outcome", outcome);
        dispatchQueued();
    }

    private void refuse(TargetRequest request, ErrorKind kind, String detail) {
        request.apply(TargetRequestEvent.REFUSE);
        request.link().send(new Message.Refused(request.submit().stream(), kind, detail));
        removeRequest(request);
        mTelemetry.count("side_requests_total", "outcome", kind.wireName());
        sLog.atFine().log("request %s refused: %s", request.submit().request(), detail);
    }

    private void removeRequest(TargetRequest request) {
        mRequests.remove(new StreamId(request.link(), request.submit().stream()), request);
    }

    private record StreamId(Link link, long stream) {}

    /** Runs the events of a target's response on the dispatcher's thread. */
    private final class DispatcherListener implements ResponseListener {
        private final TargetRequest mRequest;

        DispatcherListener(TargetRequest request) {
            mRequest = request;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mThread.execute(() -> handleHead(mRequest, status, headers));
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            mThread.execute(
                    () -> {
                        handleData(mRequest, data);
                        consumed.run();
                    });
        }

        @Override
        public void onEnd() {
            mThread.execute(() -> handleEnd(mRequest));
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            mThread.execute(() -> handleFailure(mRequest, failure.mayHaveRun(), reason));
        }
    }
}
