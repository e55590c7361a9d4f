package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the list of a route's origins over upgrades. */
final class OriginListingTest {
    private static final RouteId ROUTE = RouteId.of("r");
    private static final StreamOrigin OLD = origin("v1");
    private static final StreamOrigin NEW = origin("v2");

    private final OriginListing mListing = new OriginListing();
    private long mRevision;

    private static StreamOrigin origin(String software) {
        return new StreamOrigin(ServiceId.of("lm"), SoftwareVersion.of(software));
    }

    /** Applies the change that is due, as the store would; returns the oldest origin. */
    private Optional<StreamOrigin> step(Set<StreamOrigin> serving, long nowMs) {
        mListing.nextChange(ROUTE, serving, nowMs)
                .ifPresent(
                        change -> {
                            assertThat(change.expectedRevision(), is(mRevision));
                            mListing.onListed(ROUTE, change.origins(), ++mRevision);
                        });
        return mListing.base(ROUTE);
    }

    @Test
    void shouldKeepTheOldestOriginFirstUntilItsStreamsHaveEnded() {
        assertThat(mListing.base(ROUTE), is(Optional.empty()));
        assertThat(step(Set.of(OLD), 0), is(Optional.of(OLD)));
        assertThat(step(Set.of(OLD, NEW), 1_000), is(Optional.of(OLD)));
        assertThat(step(Set.of(NEW), 2_000), is(Optional.of(OLD)));
        long goneMs = 1_000 + OriginListing.RETENTION_MS;
        assertThat(step(Set.of(NEW), goneMs - 1), is(Optional.of(OLD)));
        assertThat(step(Set.of(NEW), goneMs), is(Optional.of(NEW)));
    }

    @Test
    void shouldNotForgetTheOrderWhenTheOldestOriginComesBack() {
        step(Set.of(OLD), 0);
        step(Set.of(OLD, NEW), 1_000);
        step(Set.of(NEW), 2_000);
        step(Set.of(OLD, NEW), OriginListing.RETENTION_MS);
        assertThat(step(Set.of(NEW), OriginListing.RETENTION_MS + 2_000), is(Optional.of(OLD)));
    }

    @Test
    void shouldWaitAgainAfterAnotherProcessListed() {
        mListing.onListed(ROUTE, List.of(OLD, NEW), 7);
        mRevision = 7;
        assertThat(step(Set.of(NEW), 5 * OriginListing.RETENTION_MS), is(Optional.of(OLD)));
        assertThat(step(Set.of(NEW), 6 * OriginListing.RETENTION_MS), is(Optional.of(NEW)));
    }
}
