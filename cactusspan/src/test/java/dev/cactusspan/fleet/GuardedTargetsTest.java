package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.SendFailure;
import dev.cactusspan.store.ManualThread;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Sends through the guard with and without current knowledge. */
final class GuardedTargetsTest {
    private final ManualThread mThread = new ManualThread();
    private final FakeTargets mTargets = new FakeTargets();
    private final List<String> mHeard = new ArrayList<>();
    private boolean mIsCurrent = true;
    private final GuardedTargets mGuard =
            new GuardedTargets(
                    mTargets, () -> mIsCurrent, "desired_state", Telemetry.create(), mThread);

    private final TargetListener mListener =
            new TargetListener() {
                @Override
                public void onHead(ResponseHead head) {
                    mHeard.add("head " + head.status() + " " + head.isNotRun());
                }

                @Override
                public void onData(byte[] data, Runnable consumed) {
                    mHeard.add("data");
                }

                @Override
                public void onEnd() {
                    mHeard.add("end");
                }

                @Override
                public void onFailure(SendFailure failure, String reason) {
                    mHeard.add("failure");
                }
            };

    private static TargetRequest request() {
        return new TargetRequest(
                "r1",
                "POST",
                "/a/",
                "host",
                Map.of(),
                new byte[0],
                Optional.empty(),
                1_000,
                OptionalLong.empty(),
                OptionalInt.empty());
    }

    @Test
    void shouldSendWhileKnowledgeIsCurrent() {
        mGuard.send(FakeTargets.record("t1", "app", 4, 0), request(), mListener);
        mThread.runAll();
        assertThat(mTargets.sent().size(), is(1));
        assertThat(mHeard, empty());
    }

    @Test
    void shouldAnswerForTheTargetThatNothingHasRun() {
        mIsCurrent = false;
        mGuard.send(FakeTargets.record("t1", "app", 4, 0), request(), mListener);
        assertThat(mHeard, empty());
        mThread.runAll();
        assertThat(mTargets.sent(), empty());
        assertThat(mHeard, contains("head 503 true", "end"));
    }
}
