package dev.cactusspan.usage;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.EnvironmentId;
import java.util.ArrayList;
import java.util.List;

/**
 * The sealed usage windows. A window is sealed by a single compare-and-swap of this record, which
 * contains the report itself; every attempt to send a report sends the contents of this record.
 *
 * @param lastWindow number of the last sealed window, -1 if none
 * @param reported totals of all sealed windows
 * @param unsent reports that have not been acknowledged, oldest first
 */
public record SealedUsage(long lastWindow, UsageTotals reported, List<UsageReport> unsent) {
    private static final int MAX_UNSENT = 1_000;

    /** The record without sealed windows. */
    public static final SealedUsage NONE = new SealedUsage(-1, UsageTotals.EMPTY, List.of());

    /** Replaces absent parts with empty ones. */
    @JsonCreator
    public SealedUsage(
            @JsonProperty("last_window") long lastWindow,
            @JsonProperty("reported") UsageTotals reported,
            @JsonProperty("unsent") List<UsageReport> unsent) {
        this.lastWindow = lastWindow;
        this.reported = reported == null ? UsageTotals.EMPTY : reported;
        this.unsent = unsent == null ? List.of() : List.copyOf(unsent);
    }

    /**
     * Tells whether a window can be sealed.
     *
     * @param window the window
     * @return false if it or a later one is already sealed, or too many reports are unsent
     */
    public boolean isSealable(long window) {
        return window > lastWindow && unsent.size() < MAX_UNSENT;
    }

    /**
     * Returns this record with a further window sealed.
     *
     * @param environment the environment
     * @param window the window
     * @param totals current totals of all sources
     * @return the record
     */
    public SealedUsage seal(EnvironmentId environment, long window, UsageTotals totals) {
        UsageReport report = new UsageReport(environment, window, totals.minus(reported));
        List<UsageReport> waiting = new ArrayList<>(unsent);
        waiting.add(report);
        return new SealedUsage(window, totals, waiting);
    }

    /**
     * Returns this record without a report that was acknowledged.
     *
     * @param window window of the report
     * @return the record
     */
    public SealedUsage withoutReport(long window) {
        return new SealedUsage(
                lastWindow, reported, unsent.stream().filter(r -> r.window() != window).toList());
    }
}
