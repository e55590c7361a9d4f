package dev.cactusspan.region;

import dev.cactusspan.id.RegionId;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions in which a request may run, and to whose machines its body may be sent. Each choice
 * of a target or of another process for a request asks for it. Load pattern: a route is bound to
 * one region, and its targets are full while those of another region are idle.
 *
 * @param isBound false if the request may run anywhere
 * @param regions the regions, none of which may be left if several rules bind at once
 */
public record Residency(boolean isBound, Set<RegionId> regions) {
    /** Binds a request to no region. */
    public static final Residency ANYWHERE = new Residency(false, Set.of());

    /** Copies the regions. */
    public Residency {
        regions = regions == null ? Set.of() : Set.copyOf(regions);
    }

    /**
     * Returns the residency that a route or a client account asks for.
     *
     * @param regions the regions that it names; none if it is not bound
     * @return the residency
     */
    public static Residency of(Set<RegionId> regions) {
        return regions.isEmpty() ? ANYWHERE : new Residency(true, regions);
    }

    /**
     * Returns the residency under which this one and another one hold.
     *
     * @param other the other one
     * @return the regions that both allow, possibly none
     */
    public Residency and(Residency other) {
        if (!isBound) {
            return other;
        }
        if (!other.isBound) {
            return this;
        }
        Set<RegionId> common = new TreeSet<>(regions);
        common.retainAll(other.regions);
        return new Residency(true, common);
    }

    /**
     * Tells whether a region is allowed. A bound request is allowed in no region that is unknown.
     *
     * @param region the region, empty if it is unknown
     * @return true if it is allowed
     */
    public boolean allows(Optional<RegionId> region) {
        return !isBound || region.map(regions::contains).orElse(false);
    }

    @Override
    public String toString() {
        return isBound ? new TreeSet<>(regions).toString() : "anywhere";
    }
}
