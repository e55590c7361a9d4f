package dev.cactusspan.entry;

import dev.cactusspan.id.TrainerId;

/**
 * A lane of a trainer. Lanes have steps of their own, so that the samples of one large step can be
 * spread over several entries.
 *
 * @param trainer the trainer
 * @param number number of the lane from zero
 */
record Lane(TrainerId trainer, int number) {}
