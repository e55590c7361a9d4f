package dev.cactusspan.peer;

import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
import java.util.Collection;
import java.util.List;

/**
 * Decides through which processes a call to the store may pass. A call that carries the bodies of a
 * batch passes only through those in the regions to which the batch is bound. Load pattern: the
 * store turns away the processes of one region, and those of the others relay their calls.
 */
final class RelayRule {
    private final NodeDirectory mNodes;
    private final RegionMap mRegions;
    private final String mSelf;

    RelayRule(NodeDirectory nodes, RegionMap regions, String self) {
        mNodes = nodes;
        mRegions = regions;
        mSelf = self;
    }

    /** Returns the processes that may relay a call, empty if none is known. */
    List<NodeRecord> relays(Residency residency) {
        Collection<NodeRecord> nodes = mNodes.all();
        return nodes.stream()
                .filter(n -> !n.owner().equals(mSelf))
                .filter(n -> mRegions.allows(residency, n.zone()))
                .toList();
    }
}
