package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.WeightVersion;
import java.util.List;

/**
 * The saved progress of an unfinished text, from which another owner can resume it.
 *
 * @param id the item
 * @param texts the texts of its events, in order
 * @param lastEvent number of the last event
 * @param versions weight versions that generated the events
 * @param version weight version of the last event
 */
public record ItemProgress(
        ItemId id,
        List<String> texts,
        long lastEvent,
        List<WeightVersion> versions,
        WeightVersion version) {}
