package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.WeightVersion;
import java.util.List;
import java.util.Objects;

/**
 * The saved progress of an unfinished text, from which another owner can resume it.
 *
 * @param id the item
 * @param texts the texts of its events, in order
 * @param lastEvent number of the last event
 * @param versions weight versions that generated the events
 * @param version weight version of the last event
 * @param software software version that generated the events, {@link SoftwareVersion#NONE} if it
 *     was not saved
 */
public record ItemProgress(
        ItemId id,
        List<String> texts,
        long lastEvent,
        List<WeightVersion> versions,
        WeightVersion version,
        SoftwareVersion software) {

    /** Replaces a software version that was not saved. */
    public ItemProgress {
        software = Objects.requireNonNullElse(software, SoftwareVersion.NONE);
    }
}
