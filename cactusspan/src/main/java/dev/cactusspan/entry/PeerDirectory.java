package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.limit.DemandShares;
import dev.cactusspan.link.Dialer;
import dev.cactusspan.link.Link;
import dev.cactusspan.membership.FanOutTree;
import dev.cactusspan.membership.FreshnessRule;
import dev.cactusspan.membership.Rendezvous;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.wire.Message;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Maintains the links to other entries, which propagate documents, desired weights, freshness and
 * demand: links to this entry's parents in the trees of its region and, for a root, to the roots of
 * the other regions.
 */
final class PeerDirectory {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long HEARTBEAT_INTERVAL_MS = 1_000;
    private static final long PEER_EXPIRY_MS = 5_000;
    private static final double MS_PER_S = 1_000.0;
    private static final int BOOTSTRAP_PEERS = 2;

    private final EntrySettings mSettings;
    private final Dialer mDialer;
    private final Backoff mBackoff;
    private final ConfigurationFollower mFollower;
    private final DemandShares mShares;
    private final LongSupplier mNowMs;
    private final Map<VmId, Peer> mDialledPeers = new HashMap<>();
    private final Map<Link, Peer> mPeers = new HashMap<>();
    private Map<RegionId, Set<VmId>> mRoots = new TreeMap<>();
    private Set<VmId> mParents = Set.of();
    private Set<VmId> mDemandRoots = Set.of();
    private Optional<VmId> mDemandParent = Optional.empty();
    private boolean mIsRoot = true;
    private long mNextHeartbeatMs;
    private boolean mIsPlatformDown;

    PeerDirectory(
            EntrySettings settings,
            Dialer dialer,
            Backoff backoff,
            ConfigurationFollower follower,
            DemandShares shares,
            LongSupplier nowMs) {
        mSettings = settings;
        mDialer = dialer;
        mBackoff = backoff;
        mFollower = follower;
        mShares = shares;
        mNowMs = nowMs;
    }

    // Operations

    /** Applies the list of live entries and selects the peers for this entry's tree positions. */
    void updateEntries(List<VmRecord> entries, Configuration configuration) {
        Map<RegionId, List<VmRecord>> byRegion =
                entries.stream()
                        .filter(e -> region(configuration, e.zone()).isPresent())
                        .collect(
                                Collectors.groupingBy(
                                        e -> region(configuration, e.zone()).get(),
                                        TreeMap::new,
                                        Collectors.toList()));
        Optional<RegionId> ownRegion = region(configuration, mSettings.zone());
        List<VmRecord> regionEntries =
                ownRegion.map(r -> byRegion.getOrDefault(r, List.of())).orElse(List.of());
        mParents = new HashSet<>(FanOutTree.parents(mSettings.vm(), regionEntries));
        mDemandParent = FanOutTree.aggregationParent(mSettings.vm(), regionEntries);
        mDemandRoots =
                byRegion.values().stream()
                        .flatMap(vms -> FanOutTree.roots(vms).stream().limit(1))
                        .collect(Collectors.toSet());
        mShares.setEntryCount(entries.size());
        Set<VmId> regionRoots = new HashSet<>(FanOutTree.roots(regionEntries));
        mIsRoot = regionRoots.isEmpty() || regionRoots.contains(mSettings.vm());
        mRoots = new TreeMap<>();
        byRegion.forEach((region, vms) -> mRoots.put(region, new HashSet<>(FanOutTree.roots(vms))));
        ownRegion.ifPresent(this::excludeSelf);
        Set<VmId> peerIds = new HashSet<>(mParents);
        if (mIsRoot) {
            mRoots.values().forEach(peerIds::addAll);
        }
        peerIds.remove(mSettings.vm());
        entries.stream().filter(e -> peerIds.contains(e.vm())).forEach(this::addDialledPeer);
        closeUnwanted(peerIds);
    }

    /**
     * Links to two other entries while this one has no document, since the platform may be down.
     * The trees are unknown without a document.
     */
    void bootstrap(List<VmRecord> entries) {
        List<VmRecord> others =
                entries.stream().filter(e -> !e.vm().equals(mSettings.vm())).toList();
        Set<VmId> peerIds =
                Rendezvous.order(mSettings.vm().value(), others).stream()
                        .limit(BOOTSTRAP_PEERS)
                        .collect(Collectors.toSet());
        others.stream().filter(e -> peerIds.contains(e.vm())).forEach(this::addDialledPeer);
    }

    /** Excludes this entry; another root of its region counts like the roots of other regions. */
    private void excludeSelf(RegionId ownRegion) {
        Set<VmId> roots = mRoots.getOrDefault(ownRegion, new HashSet<>());
        roots.remove(mSettings.vm());
        if (roots.isEmpty()) {
            mRoots.remove(ownRegion);
        }
    }

    private static Optional<RegionId> region(Configuration configuration, AvailabilityZoneId zone) {
        return configuration.document().availabilityZones().stream()
                .filter(z -> z.name().equals(zone))
                .map(z -> z.region())
                .findFirst();
    }

    private void addDialledPeer(VmRecord vm) {
        mDialledPeers.computeIfAbsent(vm.vm(), v -> new Peer()).mRecord = vm;
    }

    private void closeUnwanted(Set<VmId> peerIds) {
        for (Map.Entry<VmId, Peer> dialled : Map.copyOf(mDialledPeers).entrySet()) {
            if (!peerIds.contains(dialled.getKey())) {
                mDialledPeers.remove(dialled.getKey());
                Optional.ofNullable(dialled.getValue().mLink)
                        .ifPresent(link -> link.close("no longer a parent"));
            }
        }
    }

    void tick() {
        long nowMs = mNowMs.getAsLong();
        for (Peer peer : mDialledPeers.values()) {
            if (peer.mLink == null && nowMs >= peer.mNextDialMs) {
                peer.mLink =
                        mDialer.connect(
                                new InetSocketAddress(peer.mRecord.ip(), peer.mRecord.port()));
                mPeers.put(peer.mLink, peer);
            }
        }
        if (nowMs >= mNextHeartbeatMs) {
            mNextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
            Message.Heartbeat heartbeat = new Message.Heartbeat(mFollower.ageMs(), mIsPlatformDown);
            greetedPeers().forEach(peer -> peer.mLink.send(heartbeat));
            exchangeDemand(nowMs);
        }
        mFollower.activate(mIsRoot || !isParentFresh());
    }

    /** Sends demand to the parent or between the roots, and the total to the children. */
    private void exchangeDemand(long nowMs) {
        mShares.endInterval(HEARTBEAT_INTERVAL_MS / MS_PER_S);
        mShares.expire(nowMs - PEER_EXPIRY_MS);
        Message.Demand subtreeDemand = new Message.Demand(false, mShares.subtreeDemand());
        boolean isRoot = mDemandParent.isEmpty();
        if (isRoot) {
            mShares.updateTotal(mShares.rootTotal());
        }
        Message.Demand totalDemand = new Message.Demand(true, mShares.total());
        for (Peer peer : greetedPeers()) {
            boolean isDemandParent = mDemandParent.equals(Optional.of(peer.mVm));
            boolean isRootPeer = isRoot && mDemandRoots.contains(peer.mVm);
            if (isDemandParent || isRootPeer) {
                peer.mLink.send(subtreeDemand);
            } else if (peer.mIsDemandChild) {
                peer.mLink.send(totalDemand);
            }
        }
    }

    /** Handles demand from a child, another root or the parent. */
    void onDemand(Link link, Message.Demand demand) {
        Peer peer = mPeers.get(link);
        if (peer == null || peer.mVm == null) {
            return;
        }
        if (demand.total()) {
            if (mDemandParent.equals(Optional.of(peer.mVm))) {
                mShares.updateTotal(demand.perS());
            }
            return;
        }
        if (mDemandRoots.contains(peer.mVm)) {
            mShares.updateOtherRoot(peer.mVm, demand.perS(), mNowMs.getAsLong());
            return;
        }
        peer.mIsDemandChild = true;
        mShares.updateChild(peer.mVm, demand.perS(), mNowMs.getAsLong());
    }

    /** Returns whether a parent is fresh; without one, this entry watches the platform itself. */
    private boolean isParentFresh() {
        return greetedPeers().stream()
                .filter(peer -> isParent(peer.mVm))
                .anyMatch(peer -> peer.ageMs(mNowMs.getAsLong()) <= PEER_EXPIRY_MS);
    }

    private boolean isParent(VmId vm) {
        return mParents.contains(vm);
    }

    private List<Peer> greetedPeers() {
        return mPeers.values().stream().filter(peer -> peer.mVm != null).toList();
    }

    // Links

    boolean isPeer(Link link) {
        return mPeers.containsKey(link);
    }

    /** Handles the hello of an entry, on a link of either direction. */
    void onHello(Link link, Message.EntryHello hello) {
        Peer peer = mPeers.computeIfAbsent(link, l -> new Peer());
        peer.mLink = link;
        peer.mVm = hello.vm();
        peer.mFailures = 0;
        sLog.atFine().log("entry %s is connected", hello.vm());
        mFollower.updates().forEach(link::send);
    }

    void onHeartbeat(Link link, Message.Heartbeat heartbeat) {
        Peer peer = mPeers.get(link);
        peer.mReportedAgeMs = heartbeat.configAgeMs();
        peer.mIsPlatformDown = heartbeat.platformDown();
        peer.mLastHeartbeatMs = mNowMs.getAsLong();
        if (heartbeat.configAgeMs() != Long.MAX_VALUE) {
            mFollower.confirm(
                    peer.mLastHeartbeatMs - heartbeat.configAgeMs(), peer.mReportedVersions);
        }
    }

    /** Applies and forwards a newer value; an old one is not forwarded, to prevent loops. */
    void onUpdate(Link link, Message.Update update) {
        mPeers.get(link).recordVersion(update);
        if (mFollower.applyUpdate(update)) {
            greetedPeers().stream()
                    .filter(peer -> peer.mLink != link)
                    .forEach(peer -> peer.mLink.send(update));
        }
    }

    /**
     * Sends the values that this entry read from the platform to peers that did not report them.
     */
    void sendUpdates() {
        for (Message.Update update : mFollower.updates()) {
            greetedPeers().stream()
                    .filter(peer -> !peer.hasReported(update))
                    .forEach(peer -> peer.mLink.send(update));
        }
    }

    boolean onLinkDown(Link link) {
        Peer peer = mPeers.remove(link);
        if (peer == null) {
            return false;
        }
        peer.mLink = null;
        peer.mVm = null;
        peer.mIsDemandChild = false;
        peer.mReportedVersions.clear();
        peer.mFailures++;
        peer.mNextDialMs = mNowMs.getAsLong() + mBackoff.delayMs(peer.mFailures);
        return true;
    }

    // Accessors

    /** Returns the known facts about the freshness of this entry's document. */
    FreshnessRule.Knowledge knowledge(long boundMs) {
        long nowMs = mNowMs.getAsLong();
        FreshnessRule.Knowledge knowledge;
        if (mIsRoot) {
            List<FreshnessRule.RegionStatus> regions =
                    mRoots.values().stream().map(roots -> regionFreshness(roots, nowMs)).toList();
            knowledge = FreshnessRule.Knowledge.ofRoot(mFollower.ageMs(), regions, boundMs);
        } else {
            boolean isPlatformDown =
                    greetedPeers().stream()
                            .filter(p -> isParent(p.mVm) && p.isRecent(nowMs))
                            .anyMatch(p -> p.mIsPlatformDown);
            knowledge = new FreshnessRule.Knowledge(mFollower.ageMs(), isPlatformDown);
        }
        mIsPlatformDown = knowledge.isPlatformDown();
        return knowledge;
    }

    private FreshnessRule.RegionStatus regionFreshness(Set<VmId> roots, long nowMs) {
        List<Peer> recentPeers =
                greetedPeers().stream()
                        .filter(p -> roots.contains(p.mVm) && p.isRecent(nowMs))
                        .toList();
        long ageMs = recentPeers.stream().mapToLong(p -> p.ageMs(nowMs)).min().orElse(0);
        return new FreshnessRule.RegionStatus(!recentPeers.isEmpty(), ageMs);
    }

    private static final class Peer {
        private final Map<Message.Update.Subject, Long> mReportedVersions = new HashMap<>();
        private VmRecord mRecord;
        private Link mLink;
        private VmId mVm;
        private long mReportedAgeMs = Long.MAX_VALUE;
        private boolean mIsPlatformDown;
        private boolean mIsDemandChild;
        private long mLastHeartbeatMs = Long.MIN_VALUE;
        private int mFailures;
        private long mNextDialMs;

        boolean isRecent(long nowMs) {
            return mLastHeartbeatMs != Long.MIN_VALUE && nowMs - mLastHeartbeatMs <= PEER_EXPIRY_MS;
        }

        long ageMs(long nowMs) {
            return mReportedAgeMs == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : mReportedAgeMs + nowMs - mLastHeartbeatMs;
        }

        void recordVersion(Message.Update update) {
            mReportedVersions.merge(update.subject(), update.version(), Math::max);
        }

        boolean hasReported(Message.Update update) {
            return Objects.equals(mReportedVersions.get(update.subject()), update.version());
        }
    }
}
