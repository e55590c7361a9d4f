package dev.cactusspan.membership;

import java.util.List;

/** Decides whether the configuration document of an entry is fresh enough to serve keyed routes. */
public interface FreshnessRule {

    /**
     * Returns whether the entry may serve keyed routes.
     *
     * @param knowledge what the entry knows about the freshness of its document
     * @param maxAgeMs maximum age at which a document is fresh enough, in milliseconds
     * @return true if it may serve
     */
    boolean isFresh(Knowledge knowledge, long maxAgeMs);

    /**
     * What an entry knows about the freshness of its document.
     *
     * @param ageMs time since the document was last confirmed to be the newest
     * @param isPlatformDown true if this entry, or one that it receives reports from, reaches all
     *     regions and none of them has a fresher document
     */
    record Knowledge(long ageMs, boolean isPlatformDown) {

        /**
         * Derives the knowledge of a root of a region.
         *
         * @param ageMs age of its own document in milliseconds
         * @param regions last status received from the roots of each other region
         * @param maxAgeMs maximum age at which a document is fresh, in milliseconds
         * @return the knowledge
         */
        public static Knowledge ofRoot(long ageMs, List<RegionStatus> regions, long maxAgeMs) {
            boolean areAllReachable = regions.stream().allMatch(RegionStatus::isReachable);
            boolean areAllStale = regions.stream().allMatch(r -> r.ageMs() > maxAgeMs);
            return new Knowledge(ageMs, areAllReachable && areAllStale);
        }
    }

    /**
     * Last known status of another region.
     *
     * @param isReachable true if at least one of its roots responds
     * @param ageMs lowest document age reported by its roots, in milliseconds
     */
    record RegionStatus(boolean isReachable, long ageMs) {}

    /**
     * Returns a rule that serves at any age. With it, a withdrawn key continues to work during a
     * network partition.
     *
     * @return the rule
     */
    static FreshnessRule always() {
        return (knowledge, maxAgeMs) -> true;
    }

    /**
     * Returns a rule that refuses beyond the maximum age. With it, a platform outage stops all
     * keyed routes.
     *
     * @return the rule
     */
    static FreshnessRule byAge() {
        return (knowledge, maxAgeMs) -> knowledge.ageMs() <= maxAgeMs;
    }

    /**
     * Returns a rule that refuses beyond the maximum age unless all regions are reachable and none
     * has a fresher document. In that case the platform responds to no entry, so it cannot have
     * accepted a change that any entry could know of.
     *
     * @return the rule
     */
    static FreshnessRule unlessPlatformIsDown() {
        return (knowledge, maxAgeMs) -> knowledge.ageMs() <= maxAgeMs || knowledge.isPlatformDown();
    }
}
