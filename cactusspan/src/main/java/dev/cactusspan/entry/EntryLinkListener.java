package dev.cactusspan.entry;

import dev.cactusspan.link.Link;
import dev.cactusspan.link.LinkListener;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.weight.WeightVersions;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** Sends the hello on new links and dispatches received frames to the parts of the entry. */
final class EntryLinkListener implements LinkListener {
    private final EntrySettings mSettings;
    private final long mIncarnation;
    private final Executor mThread;
    private final TargetDirectory mTargets;
    private final PeerDirectory mPeers;
    private final RequestDispatcher mDispatcher;
    private final ConfigurationFollower mFollower;
    private final LongSupplier mNowMs;

    EntryLinkListener(
            EntrySettings settings,
            long incarnation,
            Executor thread,
            TargetDirectory targets,
            PeerDirectory peers,
            RequestDispatcher dispatcher,
            ConfigurationFollower follower,
            LongSupplier nowMs) {
        mSettings = settings;
        mIncarnation = incarnation;
        mThread = thread;
        mTargets = targets;
        mPeers = peers;
        mDispatcher = dispatcher;
        mFollower = follower;
        mNowMs = nowMs;
    }

    // On the link reactor's thread

    @Override
    public void onUp(Link link) {
        link.send(
                new Message.EntryHello(
                        mSettings.environment(), mSettings.vm(), mSettings.zone(), mIncarnation));
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        mThread.execute(() -> handle(link, frame.message()));
    }

    @Override
    public void onDown(Link link, String reason) {
        mThread.execute(
                () ->
                        mTargets.onLinkDown(link, reason, mNowMs.getAsLong())
                                .ifPresent(mDispatcher::onLinkDown));
    }

    // On the entry's thread

    private void handle(Link link, Message message) {
        if (message instanceof Message.SideHello hello) {
            onHello(link, hello);
            return;
        }
        if (message instanceof Message.EntryHello hello) {
            onHello(link, hello);
            return;
        }
        if (mPeers.isPeer(link)) {
            handlePeer(link, message);
            return;
        }
        Optional<TargetLink> target = mTargets.target(link);
        if (target.isEmpty()) {
            link.close("expected a greeting first");
            return;
        }
        handle(target.get(), message);
    }

    private void handle(TargetLink target, Message message) {
        if (message instanceof Message.Load load) {
            target.updateLoad(load);
        } else if (message instanceof Message.Head head) {
            mDispatcher.onHead(target, head);
        } else if (message instanceof Message.Chunk chunk) {
            mDispatcher.onChunk(target, chunk);
        } else if (message instanceof Message.End end) {
            mDispatcher.onEnd(target, end);
        } else if (message instanceof Message.Refused refused) {
            mDispatcher.onRefused(target, refused);
        } else if (!(message instanceof Message.Heartbeat)) {
            target.link().close("unexpected " + message.getClass().getSimpleName());
        }
    }

    private void handlePeer(Link link, Message message) {
        if (message instanceof Message.Heartbeat heartbeat) {
            mPeers.onHeartbeat(link, heartbeat);
        } else if (message instanceof Message.Update update) {
            mPeers.onUpdate(link, update);
        } else if (message instanceof Message.Demand demand) {
            mPeers.onDemand(link, demand);
        } else {
            link.close("unexpected " + message.getClass().getSimpleName());
        }
    }

    private void onHello(Link link, Message.EntryHello hello) {
        if (!hello.environment().equals(mSettings.environment())) {
            link.close("entry serves environment " + hello.environment());
            return;
        }
        mPeers.onHello(link, hello);
    }

    private void onHello(Link link, Message.SideHello hello) {
        if (!mTargets.onHello(link, hello)) {
            link.close("not a target of environment " + mSettings.environment());
            return;
        }
        mTargets.target(link).ifPresent(t -> sendDesiredWeights(t, mFollower.desiredWeights()));
    }

    /** Sends the desired weight versions to all targets. */
    void sendDesiredWeightsToAll(WeightVersions weights) {
        mTargets.targets().forEach(target -> sendDesiredWeights(target, weights));
    }

    private static void sendDesiredWeights(TargetLink target, WeightVersions weights) {
        WeightVersions.DesiredVersions desired = weights.desired(target.service());
        if (!desired.equals(WeightVersions.DesiredVersions.NONE)) {
            target.link()
                    .send(
                            new Message.DesiredWeights(
                                    target.service(), desired.staged(), desired.active()));
        }
    }
}
