package dev.cactusspan.batch;

import java.util.List;

/**
 * A page of the results of a batch.
 *
 * @param total how many items the batch has
 * @param next the position after the last result of the page
 * @param results the results
 */
public record ResultsView(int total, int next, List<ItemResult> results) {
    /** Maximum size of the texts in one view, which keeps its encoding below 1 MB. */
    private static final int MAX_TEXT_CHARS = 600_000;

    /**
     * Returns the results from a position, at least one if any is listed there.
     *
     * @param total how many items the batch has
     * @param listed all listed results
     * @param after position of the first result
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
