package dev.cactusspan.fleet;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Sends requests through another port, and records what targets say of themselves in the heads of
 * their responses: the request limit that they name, that they leave, and how long they are cold.
 */
public final class ObservingTargets implements TargetPort {
    private final TargetPort mPort;
    private final TargetTable mTargets;
    private final LongSupplier mNowMs;

    /**
     * Creates the port.
     *
     * @param port sends the requests
     * @param targets known targets
     * @param nowMs monotonic clock in milliseconds
     */
    public ObservingTargets(TargetPort port, TargetTable targets, LongSupplier nowMs) {
        mPort = port;
        mTargets = targets;
        mNowMs = nowMs;
    }

    @Override
    public Runnable send(TargetRecord target, TargetRequest request, TargetListener listener) {
        return mPort.send(target, request, new HeadObserver(target, listener));
    }

    @Override
    public EventDecoder newDecoder() {
        return mPort.newDecoder();
    }

    @Override
    public CompletableFuture<Result<TargetLoad>> load(TargetRecord target) {
        return mPort.load(target);
    }

    @Override
    public CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders) {
        return mPort.orderVersion(target, model, version, holder, fencing, expectedOrders);
    }

    /** Reads the head of one response before it is handled. */
    private final class HeadObserver implements TargetListener {
        private final TargetRecord mTarget;
        private final TargetListener mListener;
        private final long mSentMs = mNowMs.getAsLong();

        HeadObserver(TargetRecord target, TargetListener listener) {
            mTarget = target;
            mListener = listener;
        }

        @Override
        public void onHead(ResponseHead head) {
            if (head.isForThisRequest() && !head.isFromOtherTarget()) {
                if (head.isTargetLeaving() && mTargets.recordLeaving(mTarget)) {
                    logLeaving();
                }
                mTargets.find(mTarget.id())
                        .filter(state -> state.record().startedMs() == mTarget.startedMs())
                        .ifPresent(state -> state.recordHead(head, mSentMs, mNowMs.getAsLong()));
            }
            mListener.onHead(head);
        }

        private void logLeaving() {
            Optional<TargetState> state = mTargets.find(mTarget.id());
            Decision.of("target_says_it_leaves")
                    .with("target", mTarget.id().value())
                    .with("service", mTarget.service().value())
                    .with("is_known", state.isPresent())
                    .with("in_store", state.map(s -> s.record().isLeaving()).orElse(false))
                    .with("in_flight", state.map(TargetState::inFlight).orElse(0))
                    .info();
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            mListener.onData(data, consumed);
        }

        @Override
        public void onEnd() {
            mListener.onEnd();
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (failure == SendFailure.NOT_SENT) {
                mTargets.recordUnreachable(mTarget, mNowMs.getAsLong());
            }
            mListener.onFailure(failure, reason);
        }
    }
}
