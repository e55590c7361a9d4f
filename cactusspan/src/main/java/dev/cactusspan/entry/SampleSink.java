package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;
import dev.cactusspan.sample.Sample;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.CompletionEvent;
import dev.cactusspan.text.EventStreamParser;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;
import java.util.function.Consumer;

/** Builds a sample from the response to one rollout. */
final class SampleSink implements ResponseSink {
    private static final int OK = 200;

    private final long mStep;
    private final StepSpec.Slot mSlot;
    private final Consumer<Sample> mOnSample;
    private final Consumer<String> mOnFailure;
    private StringBuilder mText = new StringBuilder();
    private EventStreamParser mEvents = newEvents();
    private int mTokens;
    private int mStatus;

    SampleSink(
            long step, StepSpec.Slot slot, Consumer<Sample> onSample, Consumer<String> onFailure) {
        mStep = step;
        mSlot = slot;
        mOnSample = onSample;
        mOnFailure = onFailure;
    }

    private EventStreamParser newEvents() {
        return new EventStreamParser(event -> addEvent(CompletionEvent.of(event)));
    }

    private void addEvent(CompletionEvent event) {
        mText.append(event.text());
        mTokens += event.tokens();
    }

    @Override
    public void head(int status, String contentType) {
        mStatus = status;
        mText = new StringBuilder();
        mTokens = 0;
        mEvents = newEvents();
    }

    @Override
    public void data(byte[] data) {
        mEvents.feed(data);
    }

    @Override
    public void end(List<VersionSpan> labels) {
        if (mStatus != OK || !mEvents.isComplete()) {
            mOnFailure.accept("the engine answered " + mStatus);
            return;
        }
        mOnSample.accept(
                new Sample(mStep, mSlot.group(), mSlot.index(), mText.toString(), mTokens, labels));
    }

    @Override
    public void fail(Failure failure) {
        mOnFailure.accept(failure.toString());
    }

    @Override
    public boolean isStreaming() {
        return false;
    }
}
