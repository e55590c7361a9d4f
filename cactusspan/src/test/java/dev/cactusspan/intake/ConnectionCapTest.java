package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class ConnectionCapTest {
    private static final long HEAP_BYTES = 96L << 20;

    @Test
    void shouldFollowTheHeapWhereNothingElseIsKnown() {
        assertThat(ConnectionCap.of(0, 0, HEAP_BYTES), is(1_536));
    }

    @Test
    void shouldLeaveHalfOfTheDescriptorsFree() {
        assertThat(ConnectionCap.of(1_200, 430, HEAP_BYTES), is(500));
    }

    @Test
    void shouldLeaveRoomForUnreadBytesInTheMachinesMemory() {
        assertThat(ConnectionCap.of(4_100, 250, HEAP_BYTES), is(384));
    }

    @Test
    void shouldAlwaysAllowSome() {
        assertThat(ConnectionCap.of(100, 100, HEAP_BYTES), is(64));
    }
}
