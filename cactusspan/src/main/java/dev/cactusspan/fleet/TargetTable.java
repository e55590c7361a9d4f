package dev.cactusspan.fleet;

import dev.cactusspan.capacity.ConcurrencyLimit;
import dev.cactusspan.capacity.FixedLimit;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
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

    /**
     * Time after an evacuation for which its targets count as cold, in milliseconds. A target that
     * became cold says so with its next report, one of which is 1.2 s after another.
     */
    private static final long TAKE_BACK_MS = 3_000;

    /**
     * Time beyond a cold start for which a target that refused a connection counts as cold, in
     * milliseconds: it may start again only some time later.
     */
    private static final long RESTART_MS = 2_000;

    /** Maximum number of targets of which it is remembered that they said that they leave. */
    private static final int MAX_LEAVING = 4_096;

    private final RegionMap mRegions;
    private final Supplier<ConcurrencyLimit> mLimits;
    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();
    private Consumer<ServiceId> mOnPlace = service -> {};
    private ColdRates mColdRates = ColdRates.NONE;
    private final Set<AvailabilityZoneId> mEvacuatedZones = new HashSet<>();

    /** Start times of the targets that said that they leave, also after they are gone. */
    private final Map<TargetId, Long> mLeavingStartedMs = new LinkedHashMap<>();

    /**
     * Creates a table.
     *
     * @param regions region of each availability zone
     * @param limits creates the limit on concurrent work of a target
     */
    public TargetTable(RegionMap regions, Supplier<ConcurrencyLimit> limits) {
        mRegions = regions;
        mLimits = limits;
    }

    /**
     * Creates a table of targets that are taken to bear work in all their slots.
     *
     * @param regions region of each availability zone
     */
    public TargetTable(RegionMap regions) {
        this(regions, FixedLimit::new);
    }

    /** Creates a table for a deployment whose regions are unknown. */
    public TargetTable() {
        this(RegionMap.NONE);
    }

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
        TargetState state =
                new TargetState(record, mLimits.get(), service -> mOnPlace.accept(service));
        state.setColdRate(mColdRates.issuedPerS(record.service()));
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

    // Cold targets

    /**
     * Sets the rates of the permits for cold targets.
     *
     * @param rates the rates by service
     */
    public void setColdRates(ColdRates rates) {
        mColdRates = rates;
        mTargets.values().forEach(t -> t.setColdRate(rates.issuedPerS(t.record().service())));
    }

    /**
     * Records that a target refused a connection, so that it may have started again. It has not if
     * it still runs other requests of this process, which would have lost their connections.
     *
     * @param target registration entry that the target had when the request was sent
     * @param nowMs monotonic clock in milliseconds
     */
    void recordUnreachable(TargetRecord target, long nowMs) {
        long forMs = mColdRates.coldStartMs(target.service()) + RESTART_MS;
        find(target.id())
                .filter(state -> state.inFlight() <= 1)
                .ifPresent(state -> state.suspectCold(forMs, nowMs));
    }

    // Evacuations

    /**
     * Evacuates a zone: its targets get nothing new until it is taken back. What they run goes on.
     *
     * @param zone the zone
     * @return false if it was evacuated already
     */
    public boolean evacuate(AvailabilityZoneId zone) {
        return mEvacuatedZones.add(zone);
    }

    /**
     * Ends the evacuation of a zone, whose targets may be cold now.
     *
     * @param zone the zone
     * @param nowMs monotonic clock in milliseconds
     * @return false if it was not evacuated
     */
    public boolean takeBack(AvailabilityZoneId zone, long nowMs) {
        if (!mEvacuatedZones.remove(zone)) {
            return false;
        }
        mTargets.values().stream()
                .filter(t -> t.record().zone().equals(zone))
                .forEach(t -> t.suspectCold(TAKE_BACK_MS, nowMs));
        return true;
    }

    /**
     * Tells whether any zone in the region of a zone is evacuated.
     *
     * @param zone the zone
     * @return true if it or another one there is
     */
    public boolean isRegionEvacuatedAt(AvailabilityZoneId zone) {
        return !mEvacuatedZones.isEmpty()
                && mEvacuatedZones.stream()
                        .anyMatch(z -> z.equals(zone) || mRegions.isSameRegion(z, zone));
    }

    /**
     * Tells whether anything new may be sent to a target.
     *
     * @param target the target
     * @return false if it leaves, or if its zone is evacuated
     */
    public boolean acceptsWork(TargetState target) {
        return !target.isLeaving()
                && (mEvacuatedZones.isEmpty() || !mEvacuatedZones.contains(target.record().zone()));
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
     * @param residency regions in which the request may run
     * @param nowMs monotonic clock in milliseconds
     * @param filter selects among these targets
     * @return the matching targets
     */
    public List<TargetState> serving(
            ServiceId service, Residency residency, long nowMs, Predicate<TargetState> filter) {
        List<TargetState> serving = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (isServing(state, service, residency)
                    && state.admitsRequest(nowMs)
                    && filter.test(state)) {
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
     * @param residency regions in which the request may run
     * @param nowMs monotonic clock in milliseconds
     * @param filter selects among these targets
     * @return the matching targets
     */
    public List<TargetState> candidates(
            ServiceId service, Residency residency, long nowMs, Predicate<TargetState> filter) {
        List<TargetState> candidates = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (!isServing(state, service, residency) || !filter.test(state)) {
                continue;
            }
            if (state.admitsRequest(nowMs)) {
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
     * @param residency regions in which the request may run
     * @param filter selects among its targets
     * @return true if there is such a target
     */
    public boolean isServing(
            ServiceId service, Residency residency, Predicate<TargetState> filter) {
        return mTargets.values().stream()
                .anyMatch(t -> isServing(t, service, residency) && filter.test(t));
    }

    private boolean isServing(TargetState state, ServiceId service, Residency residency) {
        return state.record().service().equals(service)
                && acceptsWork(state)
                && mRegions.allows(residency, state.record().zone());
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
     * @param residency regions in which the request may run
     * @param nowMs monotonic clock in milliseconds
     * @return milliseconds; empty if a target has no limit, or if there is no target
     */
    public OptionalLong permitWaitMs(ServiceId service, Residency residency, long nowMs) {
        long shortestMs = Long.MAX_VALUE;
        for (TargetState state : mTargets.values()) {
            if (!isServing(state, service, residency)) {
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
     * Returns the region of each availability zone.
     *
     * @return the regions
     */
    public RegionMap regions() {
        return mRegions;
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
            if (isServing(state, service, Residency.ANYWHERE) && state.isAvoided(nowMs)) {
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
