package dev.cactusspan.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.VmId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shares of a root entry and its children. */
final class DemandSharesTest {
    private static final AccountId ACCOUNT = AccountId.of("a");

    private final DemandShares mRoot = new DemandShares();
    private final List<DemandShares> mChildren = new ArrayList<>();

    private void runInterval(int... arrivals) {
        mRoot.endInterval(1);
        for (int i = 0; i < mChildren.size(); i++) {
            DemandShares child = mChildren.get(i);
            for (int n = 0; n < arrivals[i]; n++) {
                child.recordArrival(ACCOUNT);
            }
            child.endInterval(1);
            mRoot.updateChild(VmId.of("c" + i), child.subtreeDemand(), 0);
        }
        mRoot.updateTotal(mRoot.rootTotal());
        mChildren.forEach(child -> child.updateTotal(mRoot.rootTotal()));
    }

    private void createChildren(int count) {
        mRoot.setEntryCount(count + 1);
        for (int i = 0; i < count; i++) {
            mChildren.add(new DemandShares());
            mChildren.get(i).setEntryCount(count + 1);
        }
    }

    @Test
    void shouldAssignNearlyAllToTheEntryWithAllDemand() {
        createChildren(7);
        for (int i = 0; i < 20; i++) {
            runInterval(100, 0, 0, 0, 0, 0, 0);
        }
        assertThat(mChildren.get(0).share(ACCOUNT), greaterThan(0.95));
        assertThat(mChildren.get(1).share(ACCOUNT), lessThan(0.1));
    }

    @Test
    void shouldFollowAShiftOfDemand() {
        createChildren(3);
        for (int i = 0; i < 20; i++) {
            runInterval(100, 0, 0);
        }
        for (int i = 0; i < 20; i++) {
            runInterval(30, 70, 0);
        }
        assertThat(mChildren.get(0).share(ACCOUNT), closeTo(0.3, 0.05));
        assertThat(mChildren.get(1).share(ACCOUNT), closeTo(0.7, 0.05));
    }

    @Test
    void shouldRemoveTheDemandOfAStoppedEntry() {
        createChildren(2);
        for (int i = 0; i < 20; i++) {
            runInterval(50, 50);
        }
        mRoot.expire(1);
        mRoot.updateChild(VmId.of("c0"), mChildren.get(0).subtreeDemand(), 2);
        mChildren.get(0).updateTotal(mRoot.rootTotal());
        assertThat(mChildren.get(0).share(ACCOUNT), greaterThan(0.95));
    }

    @Test
    void shouldShareEquallyWhileNoDemandIsKnown() {
        createChildren(3);
        assertThat(mChildren.get(0).share(ACCOUNT), closeTo(0.25, 0.001));
    }
}
