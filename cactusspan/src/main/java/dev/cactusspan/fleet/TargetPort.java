package dev.cactusspan.fleet;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Sends requests and orders to targets. */
public interface TargetPort {

    /**
     * Sends a request.
     *
     * @param target the target
     * @param request the request
     * @param listener receives the response
     * @return an action that cancels the request; it has no effect after the end of the response
     */
    Runnable send(TargetRecord target, TargetRequest request, TargetListener listener);

    /**
     * Creates a decoder for the event stream of one response.
     *
     * @return the decoder
     */
    EventDecoder newDecoder();

    /**
     * Queries the load of a target.
     *
     * @param target the target
     * @return the load
     */
    CompletableFuture<Result<TargetLoad>> load(TargetRecord target);

    /**
     * Orders a target to load a weight version.
     *
     * @param target the target
     * @param model the model
     * @param version the version to load
     * @param holder VM that holds the duty
     * @param fencing fencing number of the holder
     * @param expectedOrders number of orders that the target must have accepted so far
     * @return the outcome of the order
     */
    CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders);

    /** A target's response to an order. */
    enum OrderOutcome {
        /** The target is executing the order. */
        ACCEPTED,
        /** The requested state is already in place. */
        HOLDS,
        /** Another order is in progress. */
        BUSY,
        /** A holder with a higher fencing number has already sent an order. */
        FENCED,
        /** The target refused the order for another reason. */
        REFUSED
    }

    /** Decodes a stream of bytes into events. */
    interface EventDecoder {
        /**
         * Decodes the next bytes.
         *
         * @param data the bytes
         * @return the events completed by these bytes
         */
        List<TextEvent> feed(byte[] data);

        /**
         * Returns whether an incomplete event is buffered.
         *
         * @return true if a stream that ends here is truncated
         */
        boolean isInsideEvent();

        /**
         * Returns whether an event exceeded the size limit; nothing is decoded after it.
         *
         * @return true if the stream is unusable
         */
        boolean isOverLimit();
    }
}
