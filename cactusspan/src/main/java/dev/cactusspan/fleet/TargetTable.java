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
 * The targets that this process knows. An entry that goes while the store is well names a target
 * that has left. One that was lost around an outage of the store is kept for a while, as its lease
 * may have lapsed with the target alive.
 */
public final class TargetTable {
    /** How long targets have to appear again after an outage of the store, in milliseconds. */
    private static final long RETURN_MS = 2_200;

    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();

    // Operations

    /**
     * Takes an entry of a target.
     *
     * @param record what the target says of itself
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
     * Notes that the entry of a target is gone.
     *
     * @param id the target
     * @param nowMs steady clock in milliseconds
     * @param isStoreAvailable false if the store was away a short time ago
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
     * Drops targets whose entries did not come back.
     *
     * @param nowMs steady clock in milliseconds
     */
    public void tick(long nowMs) {
        mTargets.values().removeIf(state -> state.isMissingFor(nowMs, RETURN_MS));
    }

    // Accessors

    /**
     * Finds a target.
     *
     * @param id its id
     * @return the target, if it is known
     */
    public Optional<TargetState> find(TargetId id) {
        return Optional.ofNullable(mTargets.get(id));
    }

    /**
     * Lists the targets of a service that take new work.
     *
     * @param service the service
     * @param filter which of them
     * @return the targets
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
     * Lists all targets.
     *
     * @return the targets
     */
    public Collection<TargetState> all() {
        return mTargets.values();
    }
}
