package dev.cactusspan.batch;

import java.util.List;

/**
 * Results of a batch from a position on.
 *
 * @param total how many items the batch has
 * @param next the position after the last result
 * @param results the results
 */
public record ResultsView(int total, int next, List<ItemResult> results) {
    /** Size of the texts in one view, so that its encoding stays below 1 MB. */
    private static final int MAX_TEXT_CHARS = 600_000;

    /**
     * Returns the results from a position on, at least one if there is one.
     *
     * @param total how many items the batch has
     * @param listed all results
     * @param after the first position
     * @return the view
     */
    public static ResultsView of(int total, List<ItemResult> listed, int after) {
        int from = Math.min(Math.max(0, after), listed.size());
        int to = from;
        int chars = 0;
        while (to < listed.size()) {
            chars += listed.get(to).text().length();
            if (to > from && chars > MAX_TEXT_CHARS) {
                break;
            }
            to++;
        }
        return new ResultsView(total, Math.max(after, to), List.copyOf(listed.subList(from, to)));
    }
}
