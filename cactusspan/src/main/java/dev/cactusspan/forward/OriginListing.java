package dev.cactusspan.forward;

import dev.cactusspan.id.RouteId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The origins of each route's streams, the oldest first, as listed in the store by one process at a
 * time. An origin stays listed for longer than any of its streams may be resumed, so that a stream
 * without a record began at the oldest one.
 */
public final class OriginListing {
    /** Time that an origin without targets stays listed, in milliseconds. */
    public static final long RETENTION_MS = 600_000;

    private final Map<RouteId, Listed> mListed = new HashMap<>();
    private final Map<RouteId, Map<StreamOrigin, Long>> mSeenMs = new HashMap<>();

    private record Listed(List<StreamOrigin> origins, long revision) {}

    /**
     * A change of a route's list.
     *
     * @param route the route
     * @param expectedRevision revision of the list that it replaces, zero if there is none
     * @param origins the new list
     */
    public record Change(RouteId route, long expectedRevision, List<StreamOrigin> origins) {}

    // Operations

    /**
     * Applies the list of a route from the store.
     *
     * @param route the route
     * @param origins its origins, the oldest first; empty if the list is gone
     * @param revision revision of the list, zero if it is gone
     */
    public void onListed(RouteId route, List<StreamOrigin> origins, long revision) {
        mListed.put(route, new Listed(List.copyOf(origins), revision));
    }

    /**
     * Returns the change of a route's list that is due.
     *
     * @param route the route
     * @param present origins of known targets
     * @param nowMs monotonic clock in milliseconds
     * @return the change, empty if the list is right
     */
    public Optional<Change> nextChange(RouteId route, Set<StreamOrigin> present, long nowMs) {
        Listed listed = mListed.getOrDefault(route, new Listed(List.of(), 0));
        Map<StreamOrigin, Long> seenMs = mSeenMs.computeIfAbsent(route, r -> new HashMap<>());
        seenMs.keySet().retainAll(listed.origins());
        listed.origins().forEach(origin -> seenMs.putIfAbsent(origin, nowMs));
        List<StreamOrigin> origins = new ArrayList<>();
        for (StreamOrigin origin : listed.origins()) {
            if (present.contains(origin)) {
                seenMs.put(origin, nowMs);
            }
            if (nowMs - seenMs.get(origin) < RETENTION_MS) {
                origins.add(origin);
            }
        }
        inOrder(present).stream().filter(o -> !origins.contains(o)).forEach(origins::add);
        return origins.equals(listed.origins())
                ? Optional.empty()
                : Optional.of(new Change(route, listed.revision(), origins));
    }

    private static Set<StreamOrigin> inOrder(Set<StreamOrigin> origins) {
        Set<StreamOrigin> ordered =
                new TreeSet<>(
                        Comparator.comparing((StreamOrigin o) -> o.service().value())
                                .thenComparing(o -> o.software().value()));
        ordered.addAll(origins);
        return ordered;
    }

    // Accessors

    /**
     * Returns the oldest origin of a route.
     *
     * @param route the route
     * @return the origin that streams without a record have, empty if it is not known
     */
    public Optional<StreamOrigin> base(RouteId route) {
        return Optional.ofNullable(mListed.get(route))
                .flatMap(l -> l.origins().stream().findFirst());
    }
}
