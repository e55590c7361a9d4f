package dev.cactusspan.side;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.lease.LeaseRecord;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests the check of fencing numbers for targets that do not check them. Each order uses a new
 * guard, as after a restart of the side process.
 */
final class OrderGuardTest {
    private static final EnvironmentId ENVIRONMENT = EnvironmentId.of("e");
    private static final DutyId DUTY =
            DutyId.targets(ServiceId.of("s"), AvailabilityZoneId.of("z"));

    private final FakeKeyValues mKeyValues = new FakeKeyValues(new Random(1));

    private boolean isExecuted(long number) {
        boolean[] isDone = {false};
        OrderGuard restarted = new OrderGuard(ENVIRONMENT, mKeyValues, Runnable::run);
        restarted.verify(new Message.Leave(DUTY, FencingNumber.of(number)), () -> isDone[0] = true);
        mKeyValues.step();
        return isDone[0];
    }

    private void store(LeaseRecord record) {
        mKeyValues.put(LeaseRecord.key(ENVIRONMENT, DUTY), JsonText.write(record));
    }

    @Test
    void shouldRefuseAnOrderWithAnOldFencingNumberAfterARestart() {
        store(LeaseRecord.NONE.acquiredBy("a").acquiredBy("b"));
        assertThat(isExecuted(1), is(false));
        assertThat(isExecuted(2), is(true));
        assertThat(isExecuted(3), is(false));
    }

    @Test
    void shouldRefuseAnOrderThatItCannotCheck() {
        assertThat(isExecuted(1), is(false));
        store(LeaseRecord.NONE.acquiredBy("a"));
        mKeyValues.faults(0, 1.0);
        assertThat(isExecuted(1), is(false));
    }

    @Test
    void shouldRefuseAnOrderUnderAReleasedLease() {
        store(LeaseRecord.NONE.acquiredBy("a").released());
        assertThat(isExecuted(1), is(false));
    }
}
