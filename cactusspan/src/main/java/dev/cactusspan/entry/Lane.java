package dev.cactusspan.entry;

import dev.cactusspan.id.TrainerId;

/**
 * A lane of a trainer. Each lane has its own steps, so that the samples of one large step can be
 * spread over several entries.
 *
 * @param trainer the trainer
 * @param number number of the lane, starting at zero
 */
record Lane(TrainerId trainer, int number) {}
