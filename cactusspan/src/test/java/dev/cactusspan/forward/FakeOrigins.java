package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Origins in memory, whose records a test may hold back. */
public final class FakeOrigins implements StreamOrigins {
    private final Map<RequestId, StreamOrigin> mOrigins = new HashMap<>();
    private final List<Consumer<Boolean>> mHeld = new ArrayList<>();
    private boolean mIsHolding;

    /** Holds back the outcome of each record until {@link #release}. */
    void hold() {
        mIsHolding = true;
    }

    void release(boolean mayPass) {
        mHeld.forEach(consumer -> consumer.accept(mayPass));
        mHeld.clear();
    }

    @Override
    public boolean mayBegin(FleetRoute route, TargetRecord target) {
        return true;
    }

    @Override
    public void record(
            RequestId id, FleetRoute route, TargetRecord target, Consumer<Boolean> consumer) {
        mOrigins.put(id, StreamOrigin.of(target));
        if (mIsHolding) {
            mHeld.add(consumer);
        } else {
            consumer.accept(true);
        }
    }

    @Override
    public void find(RequestId id, FleetRoute route, Consumer<Result<StreamOrigin>> consumer) {
        StreamOrigin origin = mOrigins.get(id);
        consumer.accept(
                origin == null
                        ? Result.fail(ErrorKind.STREAM_ORIGIN_UNKNOWN, "no record of " + id)
                        : Result.of(origin));
    }
}
