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

/** Greets other processes and hands their frames to the parts of the entry. */
final class EntryLinks implements LinkListener {
    private final EntrySettings mSettings;
    private final long mIncarnation;
    private final Executor mThread;
    private final TargetDirectory mTargets;
    private final PeerDirectory mPeers;
    private final RequestDesk mDesk;
    private final Follower mFollower;
    private final LongSupplier mNowMs;

    EntryLinks(
            EntrySettings settings,
            long incarnation,
            Executor thread,
            TargetDirectory targets,
            PeerDirectory peers,
            RequestDesk desk,
            Follower follower,
            LongSupplier nowMs) {
        mSettings = settings;
        mIncarnation = incarnation;
        mThread = thread;
        mTargets = targets;
        mPeers = peers;
        mDesk = desk;
        mFollower = follower;
        mNowMs = nowMs;
    }

    // On the thread of the links

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
                () -> mTargets.down(link, reason, mNowMs.getAsLong()).ifPresent(mDesk::linkDown));
    }

    // On the thread of the entry

    private void handle(Link link, Message message) {
        if (message instanceof Message.SideHello hello) {
            greeted(link, hello);
            return;
        }
        if (message instanceof Message.EntryHello hello) {
            greeted(link, hello);
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
            target.load(load);
        } else if (message instanceof Message.Head head) {
            mDesk.head(target, head);
        } else if (message instanceof Message.Chunk chunk) {
            mDesk.chunk(target, chunk);
        } else if (message instanceof Message.End end) {
            mDesk.end(target, end);
        } else if (message instanceof Message.Refused refused) {
            mDesk.refused(target, refused);
        } else if (!(message instanceof Message.Heartbeat)) {
            target.link().close("unexpected " + message.getClass().getSimpleName());
        }
    }

    private void handlePeer(Link link, Message message) {
        if (message instanceof Message.Heartbeat beat) {
            mPeers.beat(link, beat);
        } else if (message instanceof Message.News news) {
            mPeers.news(link, news);
        } else if (message instanceof Message.Demand demand) {
            mPeers.demand(link, demand);
        } else {
            link.close("unexpected " + message.getClass().getSimpleName());
        }
    }

    private void greeted(Link link, Message.EntryHello hello) {
        if (!hello.environment().equals(mSettings.environment())) {
            link.close("entry serves environment " + hello.environment());
            return;
        }
        mPeers.greeted(link, hello);
    }

    private void greeted(Link link, Message.SideHello hello) {
        if (!mTargets.greeted(link, hello)) {
            link.close("not a target of environment " + mSettings.environment());
            return;
        }
        mTargets.target(link).ifPresent(t -> sendWanted(t, mFollower.book()));
    }

    /** Tells all targets which weights they should hold. */
    void wanted(WeightVersions book) {
        mTargets.targets().forEach(target -> sendWanted(target, book));
    }

    private static void sendWanted(TargetLink target, WeightVersions book) {
        WeightVersions.DesiredVersions wanted = book.desired(target.service());
        if (!wanted.equals(WeightVersions.DesiredVersions.NONE)) {
            target.link()
                    .send(
                            new Message.WantedWeights(
                                    target.service(), wanted.staged(), wanted.active()));
        }
    }
}
