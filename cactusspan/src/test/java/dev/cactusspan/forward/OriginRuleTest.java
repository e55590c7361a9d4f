package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which streams need a record, before, during and after an upgrade. */
final class OriginRuleTest {
    private static final StreamOrigin OLD = origin("v1");
    private static final StreamOrigin NEW = origin("v2");

    private static StreamOrigin origin(String software) {
        return new StreamOrigin(ServiceId.of("lm"), SoftwareVersion.of(software));
    }

    @Test
    void shouldRecordAllStreamsButThoseOfTheOldestOrigin() {
        assertThat(OriginRule.needsRecord(Optional.of(OLD), OLD), is(false));
        assertThat(OriginRule.needsRecord(Optional.of(OLD), NEW), is(true));
        assertThat(OriginRule.needsRecord(Optional.empty(), OLD), is(true));
    }

    /** Replays an upgrade during which the store is unavailable. */
    @Test
    void shouldBeginAtTheOldestOriginWhileNothingCanBeRecorded() {
        Optional<StreamOrigin> base = Optional.of(OLD);
        assertThat(OriginRule.mayBegin(base, NEW, Set.of(OLD, NEW), true), is(true));
        assertThat(OriginRule.mayBegin(base, OLD, Set.of(OLD, NEW), false), is(true));
        assertThat(OriginRule.mayBegin(base, NEW, Set.of(OLD, NEW), false), is(false));
        assertThat(OriginRule.mayBegin(base, NEW, Set.of(NEW), false), is(true));
    }

    /** Once the oldest origin has left, streams of others may have been passed on unrecorded. */
    @Test
    void shouldTakeUnrecordedStreamsForTheOldestOriginOnlyWhileItServes() {
        assertThat(OriginRule.unrecorded(List.of(OLD), Set.of(OLD)), is(Optional.of(OLD)));
        assertThat(
                OriginRule.unrecorded(List.of(OLD, NEW), Set.of(OLD, NEW)), is(Optional.of(OLD)));
        assertThat(OriginRule.unrecorded(List.of(OLD, NEW), Set.of(NEW)), is(Optional.empty()));
        assertThat(OriginRule.unrecorded(List.of(), Set.of(NEW)), is(Optional.empty()));
    }

    @Test
    void shouldPassUnrecordedStreamsOnlyWhileNoOtherOriginServes() {
        assertThat(OriginRule.mayPassUnrecorded(NEW, Set.of(NEW)), is(true));
        assertThat(OriginRule.mayPassUnrecorded(NEW, Set.of(OLD, NEW)), is(false));
    }
}
