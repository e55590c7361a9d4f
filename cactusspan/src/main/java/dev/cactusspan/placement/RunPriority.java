package dev.cactusspan.placement;

/**
 * Decides how urgent a run is for the target that queues it. Load pattern: two trainers send all
 * items of a step at the same moment, more than all targets have slots; the texts of the more
 * urgent route are the longer ones, and the longest of them needs nearly all the time until its
 * step is due, while the other trainer's items end early in any case.
 */
public final class RunPriority {
    /** Priority of the target for requests that name none. */
    private static final int DEFAULT = 5;

    private static final int LEAST_URGENT = 9;

    /** Priority of the most urgent route, below which there is room for its long items. */
    private static final int MOST_URGENT_ROUTE = 3;

    /** Difference between two routes, so that the long items of one stay behind the next route. */
    private static final int ROUTE_STEP = 2;

    private RunPriority() {}

    /**
     * Returns the priority of a request.
     *
     * @param routePriority priority of its route, where 0 is the highest
     * @param isLong whether it is expected to be among the longest of its batch
     * @return 0 for the most urgent to 9 for the least urgent
     */
    public static int of(int routePriority, boolean isLong) {
        int route = MOST_URGENT_ROUTE + ROUTE_STEP * Math.max(0, Math.min(routePriority, DEFAULT));
        return Math.min(LEAST_URGENT, route) - (isLong ? 1 : 0);
    }
}
