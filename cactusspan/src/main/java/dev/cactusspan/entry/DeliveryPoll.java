package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;

/**
 * A trainer that waits for a delivery.
 *
 * @param after number of the delivery that it holds
 * @param partialMs time from which a part of a delivery will do
 * @param untilMs time at which it is answered without a delivery
 * @param reply takes the answer
 */
record DeliveryPoll(long after, long partialMs, long untilMs, Reply reply) {

    /** Takes the answer to a poll. */
    interface Reply {
        /** Hands out a delivery. */
        void deliver(byte[] body);

        /** Tells that nothing is ready yet. */
        void none();

        /** Tells that the step is whole and the trainer holds all of it. */
        void complete(long step, long delivery);

        /** Tells of a failure. */
        void fail(Failure failure);
    }
}
