package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.result.Result;
import java.util.function.Consumer;

/**
 * Knows where resumable streams began, in all processes and after a restart of all of them. Its
 * methods and consumers are called on one thread.
 */
public interface StreamOrigins {

    /**
     * Tells whether a stream may begin at a target now.
     *
     * @param route route of the stream
     * @param target the target
     * @return false if its origin could not be recorded, and another target needs no record
     */
    boolean mayBegin(FleetRoute route, TargetRecord target);

    /**
     * Records the origin of a stream before the client gets any of it.
     *
     * @param id the client's request
     * @param route route of the stream
     * @param target the target at which it began
     * @param consumer receives whether the stream may be passed on; called at once if the origin
     *     needs no record
     */
    void record(RequestId id, FleetRoute route, TargetRecord target, Consumer<Boolean> consumer);

    /**
     * Finds the origin of a stream.
     *
     * @param id the client's request that brought the first event
     * @param route route of the stream
     * @param consumer receives the origin; {@code stream_origin_unknown} if it is not known, {@code
     *     platform_unavailable} if it cannot be known now
     */
    void find(RequestId id, FleetRoute route, Consumer<Result<StreamOrigin>> consumer);
}
