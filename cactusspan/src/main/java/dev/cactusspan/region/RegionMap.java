package dev.cactusspan.region;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.routing.ZoneDistance;
import java.util.Map;
import java.util.Optional;

/** The region of each availability zone. */
public final class RegionMap {
    /** No region is known, so that a bound request is allowed nowhere. */
    public static final RegionMap NONE = new RegionMap(Map.of());

    private final Map<AvailabilityZoneId, RegionId> mRegions;

    private RegionMap(Map<AvailabilityZoneId, RegionId> regions) {
        mRegions = Map.copyOf(regions);
    }

    /**
     * Creates a map.
     *
     * @param regions region of each zone
     * @return the map
     */
    public static RegionMap of(Map<AvailabilityZoneId, RegionId> regions) {
        return new RegionMap(regions);
    }

    /**
     * Tells whether a zone is in a region that a request may be sent to.
     *
     * @param residency the residency of the request
     * @param zone the zone
     * @return true if it is allowed
     */
    public boolean allows(Residency residency, AvailabilityZoneId zone) {
        return !residency.isBound() || residency.allows(region(zone));
    }

    /**
     * Tells whether two zones are in the same region.
     *
     * @param zone a zone
     * @param other another zone
     * @return false if either region is unknown
     */
    public boolean isSameRegion(AvailabilityZoneId zone, AvailabilityZoneId other) {
        return region(zone).isPresent() && region(zone).equals(region(other));
    }

    /**
     * Returns how far zones are from one zone.
     *
     * @param origin that zone
     * @return the distances from it
     */
    public ZoneDistance.Map distancesFrom(AvailabilityZoneId origin) {
        return zone -> {
            if (zone.equals(origin)) {
                return ZoneDistance.SAME_ZONE;
            }
            return isSameRegion(zone, origin)
                    ? ZoneDistance.SAME_REGION
                    : ZoneDistance.OTHER_REGION;
        };
    }

    /**
     * Returns the region of a zone.
     *
     * @param zone the zone
     * @return the region, empty if it is unknown
     */
    public Optional<RegionId> region(AvailabilityZoneId zone) {
        return Optional.ofNullable(mRegions.get(zone));
    }
}
