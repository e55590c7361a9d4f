package dev.cactusspan.fleet;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.routing.ZoneDistance;

/**
 * Distances from a process while zones are evacuated. Load pattern: all processes of a region send
 * the requests of an evacuated zone to the one zone that is left of the region, while targets of
 * other regions have more free slots. While a zone of its own region is evacuated, another region
 * is as near as another zone, so that free slots decide.
 */
public final class EvacuationSpread implements ZoneDistance.Map {
    private final ZoneDistance.Map mDistances;
    private final TargetTable mTargets;
    private final AvailabilityZoneId mOwnZone;

    /**
     * Creates the distances.
     *
     * @param distances distances while no zone is evacuated
     * @param targets known targets and evacuated zones
     * @param ownZone zone of this process
     */
    public EvacuationSpread(
            ZoneDistance.Map distances, TargetTable targets, AvailabilityZoneId ownZone) {
        mDistances = distances;
        mTargets = targets;
        mOwnZone = ownZone;
    }

    @Override
    public ZoneDistance to(AvailabilityZoneId zone) {
        ZoneDistance distance = mDistances.to(zone);
        return distance == ZoneDistance.OTHER_REGION && mTargets.isRegionEvacuatedAt(mOwnZone)
                ? ZoneDistance.SAME_REGION
                : distance;
    }
}
