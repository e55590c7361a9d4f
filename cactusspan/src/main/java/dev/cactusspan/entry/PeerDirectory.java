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
 * Links between entries, along which documents, wanted weights and freshness travel: to the parents
 * in the region's trees and, between roots, to the roots of the other regions.
 */
final class PeerDirectory {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long BEAT_MS = 1_000;
    private static final long HEARD_MS = 5_000;
    private static final double MS_PER_S = 1_000.0;
    private static final int BOOTSTRAP_PEERS = 2;

    private final EntrySettings mSettings;
    private final Dialer mDialer;
    private final Backoff mBackoff;
    private final Follower mFollower;
    private final DemandShares mShares;
    private final LongSupplier mNowMs;
    private final Map<VmId, Peer> mDialled = new HashMap<>();
    private final Map<Link, Peer> mPeers = new HashMap<>();
    private Map<RegionId, Set<VmId>> mRoots = new TreeMap<>();
    private Set<VmId> mParents = Set.of();
    private Set<VmId> mSumRoots = Set.of();
    private Optional<VmId> mSumParent = Optional.empty();
    private boolean mIsRoot = true;
    private long mNextBeatMs;
    private boolean mIsPlatformDown;

    PeerDirectory(
            EntrySettings settings,
            Dialer dialer,
            Backoff backoff,
            Follower follower,
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

    /** Takes the live entries, and links to those that this entry's place in the trees asks for. */
    void entries(List<VmRecord> entries, Configuration configuration) {
        Map<RegionId, List<VmRecord>> byRegion =
                entries.stream()
                        .filter(e -> region(configuration, e.zone()).isPresent())
                        .collect(
                                Collectors.groupingBy(
                                        e -> region(configuration, e.zone()).get(),
                                        TreeMap::new,
                                        Collectors.toList()));
        Optional<RegionId> own = region(configuration, mSettings.zone());
        List<VmRecord> near = own.map(r -> byRegion.getOrDefault(r, List.of())).orElse(List.of());
        mParents = new HashSet<>(FanOutTree.parents(mSettings.vm(), near));
        mSumParent = FanOutTree.aggregationParent(mSettings.vm(), near);
        mSumRoots =
                byRegion.values().stream()
                        .flatMap(vms -> FanOutTree.roots(vms).stream().limit(1))
                        .collect(Collectors.toSet());
        mShares.setEntryCount(entries.size());
        Set<VmId> nearRoots = new HashSet<>(FanOutTree.roots(near));
        mIsRoot = nearRoots.isEmpty() || nearRoots.contains(mSettings.vm());
        mRoots = new TreeMap<>();
        byRegion.forEach((region, vms) -> mRoots.put(region, new HashSet<>(FanOutTree.roots(vms))));
        own.ifPresent(this::leaveOutSelf);
        Set<VmId> wanted = new HashSet<>(mParents);
        if (mIsRoot) {
            mRoots.values().forEach(wanted::addAll);
        }
        wanted.remove(mSettings.vm());
        entries.stream().filter(e -> wanted.contains(e.vm())).forEach(this::want);
        drop(wanted);
    }

    /**
     * Links to two other entries while this one has no document: the platform may be down, and
     * without a document the trees are not known.
     */
    void bootstrap(List<VmRecord> entries) {
        List<VmRecord> others =
                entries.stream().filter(e -> !e.vm().equals(mSettings.vm())).toList();
        Set<VmId> wanted =
                Rendezvous.order(mSettings.vm().value(), others).stream()
                        .limit(BOOTSTRAP_PEERS)
                        .collect(Collectors.toSet());
        others.stream().filter(e -> wanted.contains(e.vm())).forEach(this::want);
    }

    /** The other root of the own region counts like those of other regions; this entry does not. */
    private void leaveOutSelf(RegionId own) {
        Set<VmId> roots = mRoots.getOrDefault(own, new HashSet<>());
        roots.remove(mSettings.vm());
        if (roots.isEmpty()) {
            mRoots.remove(own);
        }
    }

    private static Optional<RegionId> region(Configuration configuration, AvailabilityZoneId zone) {
        return configuration.document().availabilityZones().stream()
                .filter(z -> z.name().equals(zone))
                .map(z -> z.region())
                .findFirst();
    }

    private void want(VmRecord vm) {
        mDialled.computeIfAbsent(vm.vm(), v -> new Peer()).mRecord = vm;
    }

    private void drop(Set<VmId> wanted) {
        for (Map.Entry<VmId, Peer> dialled : Map.copyOf(mDialled).entrySet()) {
            if (!wanted.contains(dialled.getKey())) {
                mDialled.remove(dialled.getKey());
                Optional.ofNullable(dialled.getValue().mLink)
                        .ifPresent(link -> link.close("no longer a parent"));
            }
        }
    }

    void tick() {
        long nowMs = mNowMs.getAsLong();
        for (Peer peer : mDialled.values()) {
            if (peer.mLink == null && nowMs >= peer.mNextMs) {
                peer.mLink =
                        mDialer.connect(
                                new InetSocketAddress(peer.mRecord.ip(), peer.mRecord.port()));
                mPeers.put(peer.mLink, peer);
            }
        }
        if (nowMs >= mNextBeatMs) {
            mNextBeatMs = nowMs + BEAT_MS;
            Message.Heartbeat beat = new Message.Heartbeat(mFollower.ageMs(), mIsPlatformDown);
            greeted().forEach(peer -> peer.mLink.send(beat));
            shareDemand(nowMs);
        }
        mFollower.activate(mIsRoot || !isParentFresh());
    }

    /** Passes demand up to the parent, or between the roots, and the total down. */
    private void shareDemand(long nowMs) {
        mShares.endInterval(BEAT_MS / MS_PER_S);
        mShares.expire(nowMs - HEARD_MS);
        Message.Demand sum = new Message.Demand(false, mShares.subtreeDemand());
        boolean isRoot = mSumParent.isEmpty();
        if (isRoot) {
            mShares.updateTotal(mShares.rootTotal());
        }
        Message.Demand total = new Message.Demand(true, mShares.total());
        for (Peer peer : greeted()) {
            boolean isUp = mSumParent.equals(Optional.of(peer.mVm));
            boolean isRootPeer = isRoot && mSumRoots.contains(peer.mVm);
            if (isUp || isRootPeer) {
                peer.mLink.send(sum);
            } else if (peer.mIsSumChild) {
                peer.mLink.send(total);
            }
        }
    }

    /** Takes demand from a child, another root or the parent. */
    void demand(Link link, Message.Demand demand) {
        Peer peer = mPeers.get(link);
        if (peer == null || peer.mVm == null) {
            return;
        }
        if (demand.total()) {
            if (mSumParent.equals(Optional.of(peer.mVm))) {
                mShares.updateTotal(demand.perS());
            }
            return;
        }
        if (mSumRoots.contains(peer.mVm)) {
            mShares.updateOtherRoot(peer.mVm, demand.perS(), mNowMs.getAsLong());
            return;
        }
        peer.mIsSumChild = true;
        mShares.updateChild(peer.mVm, demand.perS(), mNowMs.getAsLong());
    }

    /** Without a parent that has fresh news, an entry watches the platform itself. */
    private boolean isParentFresh() {
        return greeted().stream()
                .filter(peer -> isParent(peer.mVm))
                .anyMatch(peer -> peer.ageMs(mNowMs.getAsLong()) <= HEARD_MS);
    }

    private boolean isParent(VmId vm) {
        return mParents.contains(vm);
    }

    private List<Peer> greeted() {
        return mPeers.values().stream().filter(peer -> peer.mVm != null).toList();
    }

    // Links

    boolean isPeer(Link link) {
        return mPeers.containsKey(link);
    }

    /** Takes the greeting of an entry, on a link of either direction. */
    void greeted(Link link, Message.EntryHello hello) {
        Peer peer = mPeers.computeIfAbsent(link, l -> new Peer());
        peer.mLink = link;
        peer.mVm = hello.vm();
        peer.mFailures = 0;
        sLog.atFine().log("entry %s is connected", hello.vm());
        mFollower.news().forEach(link::send);
    }

    void beat(Link link, Message.Heartbeat beat) {
        Peer peer = mPeers.get(link);
        peer.mToldAgeMs = beat.configAgeMs();
        peer.mIsPlatformDown = beat.platformDown();
        peer.mHeardMs = mNowMs.getAsLong();
        if (beat.configAgeMs() != Long.MAX_VALUE) {
            mFollower.confirm(peer.mHeardMs - beat.configAgeMs(), peer.mTold);
        }
    }

    /** Takes a newer value and hands it on; an old one is not handed on, so it cannot circle. */
    void news(Link link, Message.News news) {
        mPeers.get(link).told(news);
        if (mFollower.took(news)) {
            greeted().stream()
                    .filter(peer -> peer.mLink != link)
                    .forEach(peer -> peer.mLink.send(news));
        }
    }

    /** Hands on what this entry learned from the platform. */
    void learned() {
        for (Message.News news : mFollower.news()) {
            greeted().stream()
                    .filter(peer -> !peer.hasTold(news))
                    .forEach(peer -> peer.mLink.send(news));
        }
    }

    boolean down(Link link) {
        Peer peer = mPeers.remove(link);
        if (peer == null) {
            return false;
        }
        peer.mLink = null;
        peer.mVm = null;
        peer.mIsSumChild = false;
        peer.mTold.clear();
        peer.mFailures++;
        peer.mNextMs = mNowMs.getAsLong() + mBackoff.delayMs(peer.mFailures);
        return true;
    }

    // Accessors

    /** Returns what this entry knows of the freshness of its document. */
    FreshnessRule.Knowledge knowledge(long boundMs) {
        long nowMs = mNowMs.getAsLong();
        FreshnessRule.Knowledge known;
        if (mIsRoot) {
            List<FreshnessRule.RegionStatus> regions =
                    mRoots.values().stream().map(roots -> regionNews(roots, nowMs)).toList();
            known = FreshnessRule.Knowledge.ofRoot(mFollower.ageMs(), regions, boundMs);
        } else {
            boolean isDown =
                    greeted().stream()
                            .filter(p -> isParent(p.mVm) && p.isHeard(nowMs))
                            .anyMatch(p -> p.mIsPlatformDown);
            known = new FreshnessRule.Knowledge(mFollower.ageMs(), isDown);
        }
        mIsPlatformDown = known.isPlatformDown();
        return known;
    }

    private FreshnessRule.RegionStatus regionNews(Set<VmId> roots, long nowMs) {
        List<Peer> heard =
                greeted().stream().filter(p -> roots.contains(p.mVm) && p.isHeard(nowMs)).toList();
        long ageMs = heard.stream().mapToLong(p -> p.ageMs(nowMs)).min().orElse(0);
        return new FreshnessRule.RegionStatus(!heard.isEmpty(), ageMs);
    }

    private static final class Peer {
        private final Map<Message.News.Subject, Long> mTold = new HashMap<>();
        private VmRecord mRecord;
        private Link mLink;
        private VmId mVm;
        private long mToldAgeMs = Long.MAX_VALUE;
        private boolean mIsPlatformDown;
        private boolean mIsSumChild;
        private long mHeardMs = Long.MIN_VALUE;
        private int mFailures;
        private long mNextMs;

        boolean isHeard(long nowMs) {
            return mHeardMs != Long.MIN_VALUE && nowMs - mHeardMs <= HEARD_MS;
        }

        long ageMs(long nowMs) {
            return mToldAgeMs == Long.MAX_VALUE ? Long.MAX_VALUE : mToldAgeMs + nowMs - mHeardMs;
        }

        void told(Message.News news) {
            mTold.merge(news.subject(), news.version(), Math::max);
        }

        boolean hasTold(Message.News news) {
            return Objects.equals(mTold.get(news.subject()), news.version());
        }
    }
}
