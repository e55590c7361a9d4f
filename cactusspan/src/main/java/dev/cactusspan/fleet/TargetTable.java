package dev.cactusspan.fleet;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Targets known to this process. An entry that is removed while the store is available belongs to a
 * target that has left. An entry that is lost around a store outage is kept for a while, because
 * its lease may have expired although the target is alive. A target that said that it leaves does
 * so until it starts again, whatever its entry says, which it may have been unable to change.
 */
public final class TargetTable {
    /** Time that a target has to register again after a store outage, in milliseconds. */
    private static final long REREGISTRATION_TIMEOUT_MS = 2_200;

    /** Maximum number of targets of which it is remembered that they said that they leave. */
    private static final int MAX_LEAVING = 4_096;

    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();
    private Consumer<ServiceId> mOnPlace = service -> {};

    /** Start times of the targets that said that they leave, also after they are gone. */
    private final Map<TargetId, Long> mLeavingStartedMs = new LinkedHashMap<>();

    // Operations

    /**
     * Sets the listener for places that may have become free.
     *
     * @param onPlace receives the service of the target
     */
    public void setPlaceListener(Consumer<ServiceId> onPlace) {
        mOnPlace = onPlace;
    }

    /**
     * Adds or updates a target. A restarted target starts with a new state.
     *
     * @param record registration entry of the target
     */
    public void put(TargetRecord record) {
        TargetState state = mTargets.get(record.id());
        boolean isRestarted = state != null && state.record().startedMs() != record.startedMs();
        if (state == null || isRestarted) {
            mTargets.put(record.id(), newState(record));
            mOnPlace.accept(record.service());
            return;
        }
        state.update(record);
    }

    private TargetState newState(TargetRecord record) {
        TargetState state = new TargetState(record, service -> mOnPlace.accept(service));
        if (hasSaidLeaving(record)) {
            state.recordLeaving();
        }
        return state;
    }

    private boolean hasSaidLeaving(TargetRecord record) {
        return mLeavingStartedMs.getOrDefault(record.id(), Long.MIN_VALUE) == record.startedMs();
    }

    /**
     * Records that a target said in a response that it leaves.
     *
     * @param target registration entry that the target had when the request was sent
     * @return false if it has said so before
     */
    public boolean recordLeaving(TargetRecord target) {
        if (hasSaidLeaving(target)) {
            return false;
        }
        mLeavingStartedMs.remove(target.id());
        mLeavingStartedMs.put(target.id(), target.startedMs());
        if (mLeavingStartedMs.size() > MAX_LEAVING) {
            mLeavingStartedMs.remove(mLeavingStartedMs.keySet().iterator().next());
        }
        find(target.id())
                .filter(state -> state.record().startedMs() == target.startedMs())
                .ifPresent(TargetState::recordLeaving);
        return true;
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
        if (isStoreAvailable || state.isLeaving()) {
            mTargets.remove(id);
            return;
        }
        state.markMissing(nowMs);
    }

    /**
     * Removes targets that did not register again in time, and permits that have lapsed.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void tick(long nowMs) {
        mTargets.values().removeIf(state -> state.isMissingFor(nowMs, REREGISTRATION_TIMEOUT_MS));
        mTargets.values().forEach(state -> state.tick(nowMs));
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
     * Returns the targets of a service that accept a request now. A target that limits its requests
     * is among them only while this process holds a permit for it.
     *
     * @param service the service
     * @param filter selects among these targets
     * @return the matching targets
     */
    public List<TargetState> serving(ServiceId service, Predicate<TargetState> filter) {
        List<TargetState> serving = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (isServing(state, service) && state.admitsRequest() && filter.test(state)) {
                serving.add(state);
            }
        }
        return serving;
    }

    /**
     * Returns the targets of a service to which a request that is due may be sent, and requests
     * permits for those that limit their requests.
     *
     * @param service the service
     * @param filter selects among these targets
     * @return the matching targets
     */
    public List<TargetState> candidates(ServiceId service, Predicate<TargetState> filter) {
        List<TargetState> candidates = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (!isServing(state, service) || !filter.test(state)) {
                continue;
            }
            if (state.admitsRequest()) {
                candidates.add(state);
            } else {
                state.wantPermit();
            }
        }
        return candidates;
    }

    /**
     * Tells whether any target of a service accepts new work, though perhaps not at once.
     *
     * @param service the service
     * @param filter selects among its targets
     * @return true if there is such a target
     */
    public boolean isServing(ServiceId service, Predicate<TargetState> filter) {
        return mTargets.values().stream().anyMatch(t -> isServing(t, service) && filter.test(t));
    }

    private static boolean isServing(TargetState state, ServiceId service) {
        return state.record().service().equals(service) && !state.isLeaving();
    }

    /**
     * Returns the entries of all known targets of a service, also of those that leave.
     *
     * @param service the service
     * @return the entries
     */
    public Stream<TargetRecord> records(ServiceId service) {
        return mTargets.values().stream()
                .map(TargetState::record)
                .filter(record -> record.service().equals(service));
    }

    /**
     * Returns the expected time until a permit for any target of a service, if all of them limit
     * their requests.
     *
     * @param service the service
     * @param nowMs monotonic clock in milliseconds
     * @return milliseconds; empty if a target has no limit, or if there is no target
     */
    public OptionalLong permitWaitMs(ServiceId service, long nowMs) {
        long shortestMs = Long.MAX_VALUE;
        for (TargetState state : mTargets.values()) {
            if (!isServing(state, service)) {
                continue;
            }
            OptionalLong waitMs = state.permitWaitMs(nowMs);
            if (waitMs.isEmpty()) {
                return OptionalLong.empty();
            }
            shortestMs = Math.min(shortestMs, waitMs.getAsLong());
        }
        return shortestMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(shortestMs);
    }

    /**
     * Returns when a target of a service is no longer avoided.
     *
     * @param service the service
     * @param nowMs monotonic clock in milliseconds
     * @return milliseconds of the monotonic clock, {@code Long.MAX_VALUE} if none is avoided
     */
    public long nextPlaceMs(ServiceId service, long nowMs) {
        long earliestMs = Long.MAX_VALUE;
        for (TargetState state : mTargets.values()) {
            if (isServing(state, service) && state.isAvoided(nowMs)) {
                earliestMs = Math.min(earliestMs, state.avoidedUntilMs());
            }
        }
        return earliestMs;
    }

    /**
     * Returns how many targets take less work well than they have slots, as learned here.
     *
     * @return the number of targets
     */
    public long reducedCount() {
        return mTargets.values().stream().filter(t -> t.places() < t.record().slots()).count();
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
