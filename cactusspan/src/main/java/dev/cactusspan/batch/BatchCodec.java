package dev.cactusspan.batch;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.result.Result;

/** Decodes batches submitted by trainers. */
public interface BatchCodec {

    /**
     * Decodes a batch.
     *
     * @param request the trainer's request
     * @param route its route
     * @param account the client account that it is run for
     * @param wallMs the time of acceptance, milliseconds of the wall clock
     * @return the batch, or {@code bad_request} with the reason
     */
    Result<Batch> read(ClientRequest request, FleetRoute route, AccountId account, long wallMs);
}
