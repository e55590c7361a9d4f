package dev.cactusspan.limit;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.VmId;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares the limits of client accounts among entries by demand. Each entry adds its own demand to
 * that of its children in the region's tree and passes the sum up; the roots of all regions add
 * their sums up, and the total travels down. No entry knows the demand of each other one, and no
 * call to the platform is needed.
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
     * Counts a request, whether or not it is admitted.
     *
     * @param account the client account
     */
    public void recordArrival(AccountId account) {
        mArrivals.merge(account, 1, Integer::sum);
    }

    /**
     * Ends an interval of counting.
     *
     * @param seconds length of the interval
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
     * Takes the sum of a child's subtree.
     *
     * @param child the child
     * @param demand requests a second by account
     * @param nowMs monotonic time
     */
    public void updateChild(VmId child, Map<AccountId, Double> demand, long nowMs) {
        mChildren.put(child, new Demand(Map.copyOf(demand), nowMs));
    }

    /**
     * Takes the sum of another region.
     *
     * @param root the root of its tree
     * @param demand requests a second by account
     * @param nowMs monotonic time
     */
    public void updateOtherRoot(VmId root, Map<AccountId, Double> demand, long nowMs) {
        mOtherRoots.put(root, new Demand(Map.copyOf(demand), nowMs));
    }

    /**
     * Takes the total over all entries from the parent.
     *
     * @param demand requests a second by account
     */
    public void updateTotal(Map<AccountId, Double> demand) {
        mTotalPerS = Map.copyOf(demand);
    }

    /**
     * Forgets what was not renewed, such as the sum of an entry that is gone.
     *
     * @param oldestMs sums that came before are dropped
     */
    public void expire(long oldestMs) {
        mChildren.values().removeIf(demand -> demand.heardMs() < oldestMs);
        mOtherRoots.values().removeIf(demand -> demand.heardMs() < oldestMs);
    }

    /**
     * Sets the share that holds while nothing else is known.
     *
     * @param entries number of live entries
     */
    public void setEntryCount(int entries) {
        mEqualShare = 1.0 / Math.max(1, entries);
    }

    // Accessors

    /**
     * Returns the sum of this entry's subtree.
     *
     * @return requests a second by account
     */
    public Map<AccountId, Double> subtreeDemand() {
        Map<AccountId, Double> sum = new HashMap<>(mOwnPerS);
        mChildren.values().forEach(child -> add(sum, child));
        return sum;
    }

    /**
     * Returns the total at a root.
     *
     * @return requests a second by account, over all regions
     */
    public Map<AccountId, Double> rootTotal() {
        Map<AccountId, Double> sum = subtreeDemand();
        mOtherRoots.values().forEach(root -> add(sum, root));
        return sum;
    }

    /**
     * Returns the total as this entry knows it.
     *
     * @return requests a second by account, over all entries
     */
    public Map<AccountId, Double> total() {
        return mTotalPerS;
    }

    private static void add(Map<AccountId, Double> sum, Demand demand) {
        demand.perS().forEach((account, perS) -> sum.merge(account, perS, Double::sum));
    }

    /**
     * Returns the part of an account's limit that this entry holds. Each entry keeps a little more
     * than its demand asks for, so that a new caller is not refused before its demand is known; the
     * shares of all entries add up to 1.5 at most while demand is known.
     *
     * @param account the client account
     * @return 0 to 1
     */
    public double share(AccountId account) {
        double own = mOwnPerS.getOrDefault(account, 0.0);
        double total = mTotalPerS.getOrDefault(account, 0.0);
        double demanded = total > 0 ? own / Math.max(own, total) : 0;
        double floor = total < HEADROOM_PER_S ? mEqualShare : mEqualShare / 2;
        return Math.max(floor, demanded);
    }

    private record Demand(Map<AccountId, Double> perS, long heardMs) {}
}
