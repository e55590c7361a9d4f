package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;

/**
 * A trainer that waits for a delivery.
 *
 * @param heldDelivery number of the delivery that it holds
 * @param partialAtMs time from which a part of a delivery will do
 * @param deadlineMs time at which it is answered without a delivery
 * @param reply takes the answer
 */
record DeliveryPoll(long heldDelivery, long partialAtMs, long deadlineMs, Reply reply) {

    /** Takes the answer to a poll. */
    interface Reply {
        /** Hands out a delivery. */
        void deliver(byte[] body);

        /** Tells that nothing is ready yet. */
        void notReady();

        /** Tells that the step is whole and the trainer holds all of it. */
        void complete(long step, long delivery);

        /** Tells of a failure. */
        void fail(Failure failure);
    }
}
