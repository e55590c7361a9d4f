package dev.cactusspan.routing;

import dev.cactusspan.id.AvailabilityZoneId;

/** Distance class of two availability zones. */
public enum ZoneDistance {
    /** The same zone. */
    SAME_ZONE,
    /** Another zone of the same region. */
    SAME_REGION,
    /** Another region, where traffic is paid by volume. */
    OTHER_REGION;

    /** Maps a zone to its distance from this process. */
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
