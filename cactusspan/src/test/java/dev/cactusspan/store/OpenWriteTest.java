package dev.cactusspan.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.store.OpenWrite.Step;
import org.junit.jupiter.api.Test;

/** Tests what follows a write whose outcome is open. */
final class OpenWriteTest {
    private final OpenWrite mWrite = new OpenWrite();

    private Step fail(ErrorKind kind) {
        return mWrite.onWriteFailed(Failure.of(kind, "test"));
    }

    @Test
    void shouldSettleAfterAFailureWithoutEffect() {
        assertThat(fail(ErrorKind.PLATFORM_UNAVAILABLE), is(Step.SETTLED));
    }

    @Test
    void shouldStayOpenWhenTheSecondWriteHasNoEffect() {
        assertThat(fail(ErrorKind.OUTCOME_UNKNOWN), is(Step.WRITE));
        assertThat(fail(ErrorKind.PLATFORM_UNAVAILABLE), is(Step.WRITE));
    }

    @Test
    void shouldTakeAnInternalFailureForAnOpenOutcome() {
        assertThat(fail(ErrorKind.INTERNAL), is(Step.WRITE));
    }

    @Test
    void shouldAskUntilTheKeyIsRead() {
        assertThat(fail(ErrorKind.CONFLICT), is(Step.READ));
        assertThat(mWrite.step(), is(Step.READ));
        mWrite.onRead();
        assertThat(mWrite.step(), is(Step.SETTLED));
    }

    @Test
    void shouldSettleAWriteUnderALeaseThatHasEnded() {
        assertThat(fail(ErrorKind.NOT_FOUND), is(Step.SETTLED));
    }

    @Test
    void shouldSettleOnceItTookEffect() {
        assertThat(fail(ErrorKind.OUTCOME_UNKNOWN), is(Step.WRITE));
        mWrite.onWritten();
        assertThat(mWrite.step(), is(Step.SETTLED));
    }
}
