package dev.cactusspan.limit;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.VmId;
import java.util.HashMap;
import java.util.Map;

/**
 * Divides the limits of client accounts among entries by demand. Each entry adds its own demand to
 * that of its children in the region's tree and sends the sum to its parent. The roots of all
 * regions exchange their sums, and the total is sent down the trees. An entry does not need the
 * demand of every other entry, and no call to the platform is needed.
 */
public final class DemandShares {
    private static final double DECAY = 0.7;
    private static final double NEGLIGIBLE_PER_S = 0.01;
    private static final double HEADROOM_PER_S = 1.0;

    private final Map<AccountId, Double> mOwnPerS = new HashMap<>();
    private final Map<AccountId, Integer> mArrivals = new HashMap<>();
    private final Map<VmId, Demand> mChildren = new HashMap<>();
    private final Map<VmId, Demand> mOtherRoots = new HashMap<>();
    private Map<AccountId, Double> mTotalPerS = Map.of();
    private double mEqualShare = 1.0;

    // Operations

    /**
     * Counts an arriving request, whether or not it is admitted.
     *
     * @param account the client account
     */
    public void recordArrival(AccountId account) {
        mArrivals.merge(account, 1, Integer::sum);
    }

    /**
     * Ends a measurement interval and updates the own demand.
     *
     * @param seconds length of the interval in seconds
     */
    public void endInterval(double seconds) {
        mOwnPerS.replaceAll((account, perS) -> perS * DECAY);
        mArrivals.forEach(
                (account, count) ->
                        mOwnPerS.merge(account, (1 - DECAY) * count / seconds, Double::sum));
        mOwnPerS.values().removeIf(perS -> perS < NEGLIGIBLE_PER_S);
        mArrivals.clear();
    }

    /**
     * Updates the demand of a child's subtree.
     *
     * @param child the child
     * @param demand requests per second by account
     * @param nowMs monotonic time in milliseconds
     */
    public void updateChild(VmId child, Map<AccountId, Double> demand, long nowMs) {
        mChildren.put(child, new Demand(Map.copyOf(demand), nowMs));
    }

    /**
     * Updates the demand of another region.
     *
     * @param root root of the region's tree
     * @param demand requests per second by account
     * @param nowMs monotonic time in milliseconds
     */
    public void updateOtherRoot(VmId root, Map<AccountId, Double> demand, long nowMs) {
        mOtherRoots.put(root, new Demand(Map.copyOf(demand), nowMs));
    }

    /**
     * Updates the total demand of all entries.
     *
     * @param demand requests per second by account
     */
    public void updateTotal(Map<AccountId, Double> demand) {
        mTotalPerS = Map.copyOf(demand);
    }

    /**
     * Removes demand that was not renewed, such as that of an entry that has stopped.
     *
     * @param oldestMs demand received before this time is removed
     */
    public void expire(long oldestMs) {
        mChildren.values().removeIf(demand -> demand.receivedMs() < oldestMs);
        mOtherRoots.values().removeIf(demand -> demand.receivedMs() < oldestMs);
    }

    /**
     * Sets the number of entries, from which the share without known demand follows.
     *
     * @param entries number of live entries
     */
    public void setEntryCount(int entries) {
        mEqualShare = 1.0 / Math.max(1, entries);
    }

    // Accessors

    /**
     * Returns the demand of this entry's subtree.
     *
     * @return requests per second by account
     */
    public Map<AccountId, Double> subtreeDemand() {
        Map<AccountId, Double> sum = new HashMap<>(mOwnPerS);
        mChildren.values().forEach(child -> add(sum, child));
        return sum;
    }

    /**
     * Returns the total demand as computed at a root.
     *
     * @return requests per second by account, over all regions
     */
    public Map<AccountId, Double> rootTotal() {
        Map<AccountId, Double> sum = subtreeDemand();
        mOtherRoots.values().forEach(root -> add(sum, root));
        return sum;
    }

    /**
     * Returns the total demand that this entry last received.
     *
     * @return requests per second by account, over all entries
     */
    public Map<AccountId, Double> total() {
        return mTotalPerS;
    }

    private static void add(Map<AccountId, Double> sum, Demand demand) {
        demand.perS().forEach((account, perS) -> sum.merge(account, perS, Double::sum));
    }

    /**
     * Returns the share of an account's limit that this entry holds. Each entry keeps at least a
     * minimum share, so that a new caller is not refused before its demand is known. The shares of
     * all entries add up to at most 1.5 while demand is known.
     *
     * @param account the client account
     * @return share from 0 to 1
     */
    public double share(AccountId account) {
        double own = mOwnPerS.getOrDefault(account, 0.0);
        double total = mTotalPerS.getOrDefault(account, 0.0);
        double proportional = total > 0 ? own / Math.max(own, total) : 0;
        double minimum = total < HEADROOM_PER_S ? mEqualShare : mEqualShare / 2;
        return Math.max(minimum, proportional);
    }

    private record Demand(Map<AccountId, Double> perS, long receivedMs) {}
}
