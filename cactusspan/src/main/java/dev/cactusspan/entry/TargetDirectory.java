package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.Dialer;
import dev.cactusspan.link.Link;
import dev.cactusspan.membership.SubsetChooser;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.wire.Message;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Maintains the links to targets, from the VM list and the hellos of side processes. */
final class TargetDirectory {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long DUTY_REPORT_MS = 2_000;

    private final EntrySettings mSettings;
    private final Dialer mDialer;
    private final SubsetChooser mSubset;
    private final Backoff mBackoff;
    private final Map<VmId, Dial> mDials = new HashMap<>();
    private final Map<Link, TargetLink> mTargets = new HashMap<>();
    private Predicate<VmRecord> mWatchFilter = vm -> false;
    private List<VmRecord> mVms = List.of();
    private Set<VmId> mLeavingVms = Set.of();

    TargetDirectory(EntrySettings settings, Dialer dialer, SubsetChooser subset, Backoff backoff) {
        mSettings = settings;
        mDialer = dialer;
        mSubset = subset;
        mBackoff = backoff;
    }

    // Operations

    /** Sets which targets this entry connects to for a duty, in addition to its subset. */
    void setWatchFilter(Predicate<VmRecord> isWatched) {
        mWatchFilter = isWatched;
    }

    /** Applies a new VM list; open links to VMs that are no longer chosen stay in use. */
    void updateVms(List<VmRecord> vms, long nowMs) {
        mVms = vms;
        mLeavingVms =
                vms.stream().filter(v -> !v.isLive()).map(VmRecord::vm).collect(Collectors.toSet());
        List<VmRecord> entries = entries();
        Optional<VmRecord> self =
                entries.stream().filter(v -> v.vm().equals(mSettings.vm())).findFirst();
        Set<VmId> chosenVms = new HashSet<>();
        for (VmRecord vm : vms) {
            boolean isTarget = vm.role() == VmRecord.Role.TARGET && vm.isLive();
            if (!isTarget) {
                continue;
            }
            boolean isChosen = self.isEmpty() || mSubset.isChosen(self.get(), vm, entries);
            if (isChosen || mWatchFilter.test(vm)) {
                chosenVms.add(vm.vm());
                Dial dial = mDials.computeIfAbsent(vm.vm(), v -> new Dial());
                dial.mVm = vm;
                dial.setRouted(isChosen, Optional.ofNullable(mTargets.get(dial.mLink)));
            }
        }
        mDials.keySet().removeIf(vm -> !chosenVms.contains(vm) && mDials.get(vm).mLink == null);
        dial(nowMs);
    }

    /** Applies the last VM list again after the duties of this entry changed. */
    void refresh(long nowMs) {
        updateVms(mVms, nowMs);
    }

    /** Connects to the chosen targets that have no link. */
    void dial(long nowMs) {
        for (Dial dial : mDials.values()) {
            if (dial.mLink == null && nowMs >= dial.mNextDialMs) {
                dial.mLink = mDialer.connect(new InetSocketAddress(dial.mVm.ip(), dial.mVm.port()));
            }
        }
    }

    /** Handles the hello of a side process and returns whether the link is accepted. */
    boolean onHello(Link link, Message.SideHello hello) {
        Optional<Dial> dial = dial(link);
        if (dial.isEmpty() || !hello.environment().equals(mSettings.environment())) {
            return false;
        }
        dial.get().mFailures = 0;
        Message.Load unknown = new Message.Load(0, 0, 1, WeightVersion.NONE, false);
        TargetLink target = new TargetLink(link, hello, unknown);
        mTargets.put(link, target);
        dial.get().configure(target);
        sLog.atInfo().log("target %s (%s) is connected", hello.target(), hello.service());
        return true;
    }

    boolean isDialled(Link link) {
        return dial(link).isPresent();
    }

    /** Removes a link and returns its target, if the target's hello was received. */
    Optional<TargetLink> onLinkDown(Link link, String reason, long nowMs) {
        dial(link)
                .ifPresent(
                        dial -> {
                            dial.mLink = null;
                            dial.mFailures++;
                            dial.mNextDialMs = nowMs + mBackoff.delayMs(dial.mFailures);
                        });
        Optional<TargetLink> target = Optional.ofNullable(mTargets.remove(link));
        target.ifPresent(t -> sLog.atInfo().log("target %s is down: %s", t.target(), reason));
        return target;
    }

    private Optional<Dial> dial(Link link) {
        return mDials.values().stream().filter(d -> d.mLink == link).findFirst();
    }

    // Accessors

    Optional<TargetLink> target(Link link) {
        return Optional.ofNullable(mTargets.get(link));
    }

    Collection<TargetLink> targets() {
        return mTargets.values();
    }

    /** Returns the targets of a service that accept requests and are not listed as leaving. */
    List<TargetLink> usableTargets(ServiceId service) {
        List<TargetLink> usable = new ArrayList<>();
        for (TargetLink target : mTargets.values()) {
            boolean isOfService = target.service().equals(service);
            boolean isRouted = target.isRouted() && target.isUsable();
            if (isOfService && isRouted && !isListedAsLeaving(target)) {
                usable.add(target);
            }
        }
        return usable;
    }

    private boolean isListedAsLeaving(TargetLink target) {
        return mLeavingVms.contains(target.hello().vm());
    }

    /** Returns the connected targets of a service in an availability zone. */
    List<TargetLink> targetsOf(ServiceId service, AvailabilityZoneId zone) {
        return mTargets.values().stream()
                .filter(t -> t.service().equals(service) && t.hello().zone().equals(zone))
                .toList();
    }

    /** Returns the number of live targets of a service listed in an availability zone. */
    int listedCount(ServiceId service, AvailabilityZoneId zone) {
        return (int)
                mVms.stream()
                        .filter(v -> v.role() == VmRecord.Role.TARGET && v.isLive())
                        .filter(v -> v.service().equals(service) && v.zone().equals(zone))
                        .count();
    }

    /** Returns the live entries of the VM list. */
    List<VmRecord> entries() {
        return mVms.stream().filter(v -> v.role() == VmRecord.Role.ENTRY && v.isLive()).toList();
    }

    /** A target that this entry connects to, for requests or only for a duty. */
    private static final class Dial {
        private VmRecord mVm;
        private Link mLink;
        private boolean mIsRouted = true;
        private int mFailures;
        private long mNextDialMs;

        void setRouted(boolean isRouted, Optional<TargetLink> target) {
            if (isRouted != mIsRouted) {
                mIsRouted = isRouted;
                target.ifPresent(this::configure);
            }
        }

        /** Configures a link; one that serves only a duty gets no requests and fewer reports. */
        void configure(TargetLink target) {
            target.setRouted(mIsRouted);
            long intervalMs = mIsRouted ? 0 : DUTY_REPORT_MS;
            target.link().send(new Message.ReportEvery(intervalMs));
        }
    }
}
