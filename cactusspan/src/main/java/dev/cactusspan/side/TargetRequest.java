package dev.cactusspan.side;

import dev.cactusspan.chart.StateChart;
import dev.cactusspan.chart.StateMachine;
import dev.cactusspan.link.Link;
import dev.cactusspan.wire.Message;
import java.util.Optional;

/** A request at a side process. */
final class TargetRequest {
    private static final StateChart<TargetRequestState, TargetRequestEvent> CHART =
            StateChart.load(
                    "/dev/cactusspan/chart/target-request.json",
                    TargetRequestState.class,
                    TargetRequestEvent.class);

    private final Link mLink;
    private final Message.Submit mSubmit;
    private final Optional<EngineEvents> mEvents;
    private final StateMachine<TargetRequestState, TargetRequestEvent> mPosition =
            StateMachine.of(CHART);
    private Runnable mCancel = () -> {};
    private int mChunks;
    private long mResponseBytes;
    private long mDispatchedMs;

    TargetRequest(Link link, Message.Submit submit, Optional<EngineEvents> events) {
        mLink = link;
        mSubmit = submit;
        mEvents = events;
    }

    /** Applies an event and returns whether the state chart allows it. */
    boolean apply(TargetRequestEvent event) {
        return mPosition.apply(event);
    }

    Message.Chunk newChunk(byte[] data) {
        mResponseBytes += data.length;
        return new Message.Chunk(mSubmit.stream(), mChunks++, data);
    }

    void markDispatched(long timeMs) {
        mDispatchedMs = timeMs;
    }

    long dispatchedMs() {
        return mDispatchedMs;
    }

    void onCancel(Runnable cancel) {
        mCancel = cancel;
    }

    void cancelHttpRequest() {
        mCancel.run();
    }

    boolean isFinished() {
        return mPosition.isFinal();
    }

    boolean isResponding() {
        return mPosition.state() == TargetRequestState.ANSWERING;
    }

    Link link() {
        return mLink;
    }

    Message.Submit submit() {
        return mSubmit;
    }

    Optional<EngineEvents> events() {
        return mEvents;
    }

    int chunks() {
        return mChunks;
    }

    long responseBytes() {
        return mResponseBytes;
    }
}
