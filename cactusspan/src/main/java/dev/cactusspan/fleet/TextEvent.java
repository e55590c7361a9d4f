package dev.cactusspan.fleet;

import dev.cactusspan.id.WeightVersion;

/**
 * An event of a generated stream.
 *
 * @param id its number
 * @param data its text
 * @param version weight version from this event on, {@link WeightVersion#NONE} if unchanged
 */
public record TextEvent(long id, String data, WeightVersion version) {}
