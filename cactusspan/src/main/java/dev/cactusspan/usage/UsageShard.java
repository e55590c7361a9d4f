package dev.cactusspan.usage;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cumulative usage of the entry processes that share a key. Each start of an entry process is a
 * separate source, whose totals never decrease; repeating a write has no effect.
 *
 * @param sources usage totals by source
 */
public record UsageShard(Map<String, UsageTotals> sources) {

    /** A shard without sources. */
    public static final UsageShard EMPTY = new UsageShard(Map.of());

    /** Replaces an absent map with an empty one. */
    @JsonCreator
    public UsageShard(@JsonProperty("sources") Map<String, UsageTotals> sources) {
        this.sources = sources == null ? Map.of() : new TreeMap<>(sources);
    }

    /**
     * Returns this shard with the current totals of a source.
     *
     * @param source the source
     * @param totals its totals since its start
     * @return the shard
     */
    public UsageShard with(String source, UsageTotals totals) {
        Map<String, UsageTotals> changed = new TreeMap<>(sources);
        changed.put(source, totals);
        return new UsageShard(changed);
    }

    /**
     * Returns the sum over all sources.
     *
     * @return the totals
     */
    public UsageTotals total() {
        return sources.values().stream().reduce(UsageTotals.EMPTY, UsageTotals::plus);
    }
}
