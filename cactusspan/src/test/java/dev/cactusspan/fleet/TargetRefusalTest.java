package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays a target that refuses all work for a second while it loads weights. */
final class TargetRefusalTest {
    private final TargetTable mTargets = new TargetTable();
    private final List<ServiceId> mPlaces = new ArrayList<>();

    private TargetState target() {
        mTargets.setPlaceListener(mPlaces::add);
        mTargets.put(FakeTargets.record("t", "lm", 4, 1));
        return mTargets.find(TargetId.of("t")).orElseThrow();
    }

    @Test
    void shouldOfferLessAndLessWorkToATargetThatRefuses() {
        TargetState target = target();
        int offered = 0;
        for (long nowMs = 10_000; nowMs < 11_000; nowMs++) {
            if (!target.isAvoided(nowMs)) {
                target.recordRefusal(nowMs);
                offered++;
            }
        }
        assertThat(offered, lessThanOrEqualTo(8));
    }

    @Test
    void shouldCountTheRefusalsOfOneBurstOnce() {
        TargetState target = target();
        for (int i = 0; i < 6; i++) {
            target.recordRefusal(10_000);
        }
        assertThat(mTargets.nextPlaceMs(ServiceId.of("lm"), 10_000), is(10_040L));
    }

    @Test
    void shouldTakeItBackAtOnceAfterASuccess() {
        TargetState target = target();
        target.recordRefusal(10_000);
        mPlaces.clear();
        target.recordSuccess(10_010);
        assertThat(target.isAvoided(10_010), is(false));
        assertThat(mPlaces, is(List.of(ServiceId.of("lm"))));
    }
}
