package dev.cactusspan.membership;

import java.util.List;

/** Decides whether an entry may serve keyed routes on the document that it has. */
public interface FreshnessRule {

    /**
     * Decides.
     *
     * @param knowledge what the entry knows
     * @param boundMs age up to which a document is surely fresh enough
     * @return true if it may serve
     */
    boolean isFresh(Knowledge knowledge, long boundMs);

    /**
     * What an entry knows of the freshness of its document.
     *
     * @param ageMs time since it was surely the newest
     * @param isPlatformDown true if this entry, or one that it hears from, reaches all regions and
     *     none of them has fresher news
     */
    record Knowledge(long ageMs, boolean isPlatformDown) {

        /**
         * Returns the knowledge of a root of a region.
         *
         * @param ageMs age of its own document
         * @param regions what it last heard from the roots of each other region
         * @param boundMs age up to which a document is fresh
         * @return the knowledge
         */
        public static Knowledge ofRoot(long ageMs, List<RegionStatus> regions, long boundMs) {
            boolean isAllHeard = regions.stream().allMatch(RegionStatus::isReachable);
            boolean isAllStale = regions.stream().allMatch(r -> r.ageMs() > boundMs);
            return new Knowledge(ageMs, isAllHeard && isAllStale);
        }
    }

    /**
     * What was last heard from another region.
     *
     * @param isReachable true if one of its roots answers
     * @param ageMs youngest age that its roots told
     */
    record RegionStatus(boolean isReachable, long ageMs) {}

    /**
     * Serves whatever the age: a withdrawn key goes on working behind a cut.
     *
     * @return the rule
     */
    static FreshnessRule always() {
        return (knowledge, boundMs) -> true;
    }

    /**
     * Refuses beyond the bound: an outage of the platform stops all keyed routes.
     *
     * @return the rule
     */
    static FreshnessRule byAge() {
        return (knowledge, boundMs) -> knowledge.ageMs() <= boundMs;
    }

    /**
     * Refuses beyond the bound, unless all regions are heard and none has fresher news: then the
     * platform answers nobody, and it can have accepted nothing that an entry could know.
     *
     * @return the rule
     */
    static FreshnessRule unlessPlatformIsDown() {
        return (knowledge, boundMs) -> knowledge.ageMs() <= boundMs || knowledge.isPlatformDown();
    }
}
