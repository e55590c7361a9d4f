package dev.cactusspan.batch;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.result.Result;

/** Reads batches as trainers submit them. */
public interface BatchCodec {

    /**
     * Reads a batch.
     *
     * @param request the trainer's request
     * @param route its route
     * @param account the client account that it runs for
     * @param wallMs the time of its acceptance, milliseconds of the wall clock
     * @return the batch, or {@code bad_request} with the reason
     */
    Result<Batch> read(ClientRequest request, FleetRoute route, AccountId account, long wallMs);
}
