package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.WeightVersion;
import java.util.List;

/**
 * The final result of an item.
 *
 * @param id the item
 * @param isCompleted false if the item was abandoned
 * @param text its text, empty if it was abandoned
 * @param versions weight versions that generated the text
 * @param score score of the text, empty if it has none
 */
public record ItemResult(
        ItemId id, boolean isCompleted, String text, List<WeightVersion> versions, String score) {

    /**
     * Returns the result of an abandoned item.
     *
     * @param id the item
     * @return the result
     */
    public static ItemResult abandoned(ItemId id) {
        return new ItemResult(id, false, "", List.of(), "");
    }
}
