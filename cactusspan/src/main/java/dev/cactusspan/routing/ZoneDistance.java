package dev.cactusspan.routing;

import dev.cactusspan.id.AvailabilityZoneId;

/** How far apart two availability zones are. */
public enum ZoneDistance {
    /** The same zone. */
    SAME_ZONE,
    /** Another zone of the same region. */
    SAME_REGION,
    /** Another region, where traffic is paid by volume. */
    OTHER_REGION;

    /** Tells the distance between zones. */
    public interface Map {
        /**
         * Returns the distance from this process.
         *
         * @param zone the other zone
         * @return the distance
         */
        ZoneDistance to(AvailabilityZoneId zone);
    }
}
