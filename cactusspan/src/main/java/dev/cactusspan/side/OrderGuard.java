package dev.cactusspan.side;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.lease.LeaseRecord;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Checks the fencing number of an order against the duty's lease, on behalf of a target that does
 * not check it. The lease is read for each order, as orders are rare. This needs no local state, so
 * a side process also refuses an old order after a restart.
 */
final class OrderGuard {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final EnvironmentId mEnvironment;
    private final KeyValueService mKeyValues;
    private final Executor mThread;

    OrderGuard(EnvironmentId environment, KeyValueService keyValues, Executor thread) {
        mEnvironment = environment;
        mKeyValues = keyValues;
        mThread = thread;
    }

    /** Runs an action if the order comes from the current holder of its duty. */
    void verify(Message.Leave order, Runnable action) {
        String key = LeaseRecord.key(mEnvironment, order.duty());
        FutureResults.deliver(mKeyValues.get(key), mThread, r -> onLeaseRead(order, r, action));
    }

    private static void onLeaseRead(
            Message.Leave order, Result<Optional<KeyValueService.Entry>> result, Runnable action) {
        result.flatMap(entry -> decodeLease(entry))
                .fold(
                        failure -> {
                            sLog.atWarning().log("refused order %s: %s", order, failure);
                            return null;
                        },
                        record -> {
                            runIfCurrent(order, record, action);
                            return null;
                        });
    }

    private static Result<LeaseRecord> decodeLease(Optional<KeyValueService.Entry> entry) {
        return entry.map(e -> JsonText.read(e.value(), LeaseRecord.class))
                .orElse(Result.fail(ErrorKind.NOT_FOUND, "the duty has no lease"));
    }

    private static void runIfCurrent(Message.Leave order, LeaseRecord record, Runnable action) {
        if (!record.fencing().equals(order.fencing()) || record.isFree()) {
            sLog.atWarning().log(
                    "refused order %s: the current fencing number is %s", order, record.fencing());
            return;
        }
        action.run();
    }
}
