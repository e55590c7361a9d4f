package dev.cactusspan.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests claims whose write is carried out after it was given up. */
final class ClaimPartitionTest {
    private static final ClaimKey KEY = ClaimKey.of("00000000000000000000000000000000");

    private final ClaimPartition mPartition = new ClaimPartition();
    private long mNowMs = 1_000;

    private static Claim claim(String token) {
        return new Claim("digest", token, 60_000, 600_000, null);
    }

    private ClaimPartition.Step next() {
        mNowMs += 1_000;
        return mPartition.nextStep(mNowMs).orElseThrow();
    }

    /** A refused claim that appears later must be released, as its request never runs. */
    @Test
    void shouldReleaseARefusedClaimWhoseWriteIsCarriedOutLate() {
        List<ClaimOutcome> first = new ArrayList<>();
        mPartition.acquire(KEY, claim("t1"), first::add);
        assertThat(next(), instanceOf(ClaimPartition.Step.Read.class));
        mPartition.onRead(Result.of(Optional.empty()), mNowMs);
        ClaimPartition.Step.Write late = (ClaimPartition.Step.Write) next();
        mPartition.onWritten(Result.fail(ErrorKind.OUTCOME_UNKNOWN, "no reply"), mNowMs);
        assertThat(next(), instanceOf(ClaimPartition.Step.Read.class));
        mPartition.onRead(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "away"), mNowMs);
        assertThat(first.get(0), instanceOf(ClaimOutcome.Refused.class));
        assertThat(next(), instanceOf(ClaimPartition.Step.Read.class));
        mPartition.onRead(Result.of(Optional.empty()), mNowMs);
        // The first write is carried out now, as its condition still holds.
        KeyValueService.Entry stored = new KeyValueService.Entry(1, late.value());
        List<ClaimOutcome> second = new ArrayList<>();
        mPartition.acquire(KEY, claim("t2"), second::add);
        for (int i = 0; i < 10 && second.isEmpty(); i++) {
            mNowMs += 1_000;
            mPartition
                    .nextStep(mNowMs)
                    .ifPresent(
                            step -> {
                                if (step instanceof ClaimPartition.Step.Read) {
                                    mPartition.onRead(Result.of(Optional.of(stored)), mNowMs);
                                } else {
                                    mPartition.onWritten(
                                            Result.fail(ErrorKind.CONFLICT, "other"), mNowMs);
                                }
                            });
        }
        boolean isRefused = !second.isEmpty() && second.get(0) instanceof ClaimOutcome.Refused;
        assertThat("the key stays claimed by a refused request", isRefused, is(false));
    }

    /** Leaves a refused claim whose write may still be carried out. */
    private ClaimPartition.Step.Write refuseAfterALostReply() {
        mPartition.acquire(KEY, claim("t1"), outcome -> {});
        next();
        mPartition.onRead(Result.of(Optional.empty()), mNowMs);
        ClaimPartition.Step.Write late = (ClaimPartition.Step.Write) next();
        mPartition.onWritten(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "no reply"), mNowMs);
        next();
        mPartition.onRead(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "away"), mNowMs);
        next();
        mPartition.onRead(Result.of(Optional.empty()), mNowMs);
        return late;
    }

    /** A write that takes effect at the same version keeps the late one from being carried out. */
    @Test
    void shouldWriteOnceMoreWhileAWriteWithALostResponseIsOpen() {
        ClaimPartition.Step.Write late = refuseAfterALostReply();
        assertThat(mPartition.isPending(), is(true));
        ClaimPartition.Step.Write fence = (ClaimPartition.Step.Write) next();
        assertThat(fence.expectedVersion(), is(late.expectedVersion()));
        mPartition.onWritten(Result.of(1L), mNowMs);
        assertThat(mPartition.isPending(), is(false));
        List<ClaimOutcome> outcomes = new ArrayList<>();
        mPartition.acquire(KEY, claim("t2"), outcomes::add);
        assertThat(next(), instanceOf(ClaimPartition.Step.Write.class));
        mPartition.onWritten(Result.of(2L), mNowMs);
        assertThat(outcomes, is(List.of(new ClaimOutcome.Granted("t2"))));
    }

    @Test
    void shouldRemoveALateClaimThatARefusedWriteShows() {
        ClaimPartition.Step.Write late = refuseAfterALostReply();
        next();
        mPartition.onWritten(Result.fail(ErrorKind.CONFLICT, "other"), mNowMs);
        next();
        mPartition.onRead(
                Result.of(Optional.of(new KeyValueService.Entry(1, late.value()))), mNowMs);
        ClaimPartition.Step.Write removal = (ClaimPartition.Step.Write) next();
        assertThat(removal.expectedVersion(), is(1L));
        mPartition.onWritten(Result.of(2L), mNowMs);
        assertThat(mPartition.isPending(), is(false));
    }
}
