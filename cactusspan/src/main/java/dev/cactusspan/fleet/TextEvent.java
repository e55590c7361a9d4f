package dev.cactusspan.fleet;

import dev.cactusspan.id.WeightVersion;

/**
 * An event of a generated stream.
 *
 * @param id sequence number of the event
 * @param data text of the event
 * @param version weight version from this event on, {@link WeightVersion#NONE} if unchanged
 */
public record TextEvent(long id, String data, WeightVersion version) {}
