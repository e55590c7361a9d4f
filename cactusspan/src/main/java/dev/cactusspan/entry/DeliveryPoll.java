package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;

/**
 * A trainer's long poll for a delivery. Times are monotonic, in milliseconds.
 *
 * @param heldDelivery number of the last delivery that the trainer holds
 * @param partialAtMs time from which a partial delivery may be sent
 * @param deadlineMs time at which the poll is completed without a delivery
 * @param reply receives the result
 */
record DeliveryPoll(long heldDelivery, long partialAtMs, long deadlineMs, Reply reply) {

    /** Receives the result of a poll. */
    interface Reply {
        /** Sends a delivery. */
        void deliver(byte[] body);

        /** Reports that no delivery is ready yet. */
        void notReady();

        /** Reports that the step is complete and the trainer holds all of its samples. */
        void complete(long step, long delivery);

        /** Reports a failure. */
        void fail(Failure failure);
    }
}
