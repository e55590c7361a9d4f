package dev.cactusspan.fleet;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Targets known to this process. An entry that is removed while the store is available belongs to a
 * target that has left. An entry that is lost around a store outage is kept for a while, because
 * its lease may have expired although the target is alive.
 */
public final class TargetTable {
    /** Time that a target has to register again after a store outage, in milliseconds. */
    private static final long REREGISTRATION_TIMEOUT_MS = 2_200;

    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();

    // Operations

    /**
     * Adds or updates a target. A restarted target starts with a new state.
     *
     * @param record registration entry of the target
     */
    public void put(TargetRecord record) {
        TargetState state = mTargets.get(record.id());
        boolean isRestarted = state != null && state.record().startedMs() != record.startedMs();
        if (state == null || isRestarted) {
            mTargets.put(record.id(), new TargetState(record));
            return;
        }
        state.update(record);
    }

    /**
     * Handles the removal of the entry of a target.
     *
     * @param id the target
     * @param nowMs monotonic clock in milliseconds
     * @param isStoreAvailable false if the store was unavailable a short time ago
     */
    public void remove(TargetId id, long nowMs, boolean isStoreAvailable) {
        TargetState state = mTargets.get(id);
        if (state == null) {
            return;
        }
        if (isStoreAvailable || state.record().isLeaving()) {
            mTargets.remove(id);
            return;
        }
        state.markMissing(nowMs);
    }

    /**
     * Removes targets that did not register again in time.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void tick(long nowMs) {
        mTargets.values().removeIf(state -> state.isMissingFor(nowMs, REREGISTRATION_TIMEOUT_MS));
    }

    // Accessors

    /**
     * Finds a target by id.
     *
     * @param id target id
     * @return the target, empty if it is unknown
     */
    public Optional<TargetState> find(TargetId id) {
        return Optional.ofNullable(mTargets.get(id));
    }

    /**
     * Returns the targets of a service that accept new work.
     *
     * @param service the service
     * @param filter selects among these targets
     * @return the matching targets
     */
    public List<TargetState> serving(ServiceId service, Predicate<TargetState> filter) {
        List<TargetState> serving = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            TargetRecord record = state.record();
            if (record.service().equals(service) && !record.isLeaving() && filter.test(state)) {
                serving.add(state);
            }
        }
        return serving;
    }

    /**
     * Returns all known targets.
     *
     * @return the targets
     */
    public Collection<TargetState> all() {
        return mTargets.values();
    }
}
