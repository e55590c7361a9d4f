package dev.cactusspan.entry;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.Dialer;
import dev.cactusspan.link.Link;
import dev.cactusspan.link.LinkListener;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.weight.VersionSpan;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Side processes behind links in memory. Each request that is sent is carried out, refused, lost,
 * cut or answered late, as drawn at random; what truly ran is counted.
 */
final class FakeSides implements Dialer {
    private static final String OK_TEXT = "answer to ";

    private final Random mRandom;
    private final Map<String, Integer> mRuns = new HashMap<>();
    private final List<FakeLink> mLinks = new ArrayList<>();
    private final List<Message.Submit> mSubmits = new ArrayList<>();
    private LinkListener mListener;
    private double mFaults;
    private long mVersion = 1;
    private int mNextTarget;

    FakeSides(Random random) {
        mRandom = random;
    }

    // Operations

    void listener(LinkListener listener) {
        mListener = listener;
    }

    /** Sets the share of requests to which something happens. */
    void faults(double share) {
        mFaults = share;
    }

    /** Sets the weight version that the targets hold. */
    void version(long version) {
        mVersion = version;
        mLinks.forEach(FakeLink::reportLoad);
    }

    @Override
    public Link connect(InetSocketAddress address) {
        FakeLink link = new FakeLink(address.getPort(), mNextTarget++);
        mLinks.add(link);
        link.mInbox.add(link::greet);
        return link;
    }

    /** Lets one thing happen on some link; tells whether anything was left to happen. */
    boolean step() {
        List<FakeLink> busy = mLinks.stream().filter(l -> !l.mInbox.isEmpty()).toList();
        if (busy.isEmpty()) {
            return false;
        }
        FakeLink link = busy.get(mRandom.nextInt(busy.size()));
        link.mInbox.remove(0).run();
        return true;
    }

    /** Breaks a link drawn at random. */
    void breakOne() {
        if (!mLinks.isEmpty()) {
            mLinks.get(mRandom.nextInt(mLinks.size())).down("broken");
        }
    }

    // Accessors

    /** Returns how often each idempotency key or request ran. */
    Map<String, Integer> runs() {
        return mRuns;
    }

    List<Message.Submit> submits() {
        return mSubmits;
    }

    static String expected(String body) {
        return OK_TEXT + body;
    }

    /** A link whose other end is a fake side process. */
    private final class FakeLink implements Link {
        private final List<Runnable> mInbox = new ArrayList<>();
        private final ServiceId mService;
        private final int mNumber;
        private boolean mIsDown;

        FakeLink(int port, int number) {
            mService = ServiceId.of(port < EntryHarness.SERVICE_PORT ? "lantern-lm" : "booking");
            mNumber = number;
        }

        void greet() {
            mListener.onUp(this);
            receive(
                    new Message.SideHello(
                            EnvironmentId.of("kilimanjaro"),
                            mService,
                            TargetId.of("t" + mNumber),
                            VmId.of("vm" + mNumber),
                            AvailabilityZoneId.of("dar-a"),
                            mNumber));
            reportLoad();
        }

        void reportLoad() {
            receive(new Message.Load(0, 0, 16, WeightVersion.of(mVersion), false));
        }

        private void receive(Message message) {
            if (!mIsDown) {
                mListener.onFrame(this, new Frame(Revision.of(1), message));
            }
        }

        @Override
        public boolean send(Message message) {
            if (mIsDown) {
                return false;
            }
            if (message instanceof Message.Submit submit) {
                mSubmits.add(submit);
                mInbox.add(() -> handle(submit));
            }
            return true;
        }

        private void handle(Message.Submit submit) {
            if (mIsDown) {
                return;
            }
            if (mRandom.nextDouble() >= mFaults) {
                answer(submit, false);
                return;
            }
            switch (mRandom.nextInt(6)) {
                case 0 -> refuse(submit, ErrorKind.OVERLOADED);
                case 1 -> down("killed before it ran");
                case 2 -> {
                    run(submit);
                    down("killed after it ran");
                }
                case 3 -> {
                    run(submit);
                    refuse(submit, ErrorKind.TARGET_FAILED);
                }
                case 4 -> answer(submit, true);
                default -> run(submit);
            }
        }

        private void refuse(Message.Submit submit, ErrorKind kind) {
            mInbox.add(() -> receive(new Message.Refused(submit.stream(), kind, "drawn")));
        }

        private void run(Message.Submit submit) {
            String key = submit.headers().getOrDefault("idempotency-key", submit.request().value());
            mRuns.merge(key, 1, Integer::sum);
        }

        /** Answers in parts; a cut answer lacks one. */
        private void answer(Message.Submit submit, boolean isCut) {
            run(submit);
            String text = submit.labelled() ? events(submit) : expected(body(submit));
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int half = bytes.length / 2;
            byte[] one = Arrays.copyOf(bytes, half);
            byte[] two = Arrays.copyOfRange(bytes, half, bytes.length);
            long stream = submit.stream();
            mInbox.add(() -> receive(new Message.Head(stream, 200, "text/plain")));
            mInbox.add(() -> receive(new Message.Chunk(stream, 0, one)));
            if (!isCut) {
                mInbox.add(() -> receive(new Message.Chunk(stream, 1, two)));
            }
            mInbox.add(() -> receive(new Message.End(stream, 2, bytes.length, labels(submit))));
        }

        private List<VersionSpan> labels(Message.Submit submit) {
            return submit.labelled()
                    ? List.of(new VersionSpan(WeightVersion.of(mVersion), 0, 1))
                    : List.of();
        }

        private String events(Message.Submit submit) {
            return "data: {\"choices\":[{\"text\":\""
                    + submit.request().value()
                    + "\"}]}\n\n"
                    + "data: [DONE]\n\n";
        }

        private static String body(Message.Submit submit) {
            return new String(submit.body(), StandardCharsets.UTF_8);
        }

        private void down(String reason) {
            if (!mIsDown) {
                mIsDown = true;
                mInbox.clear();
                mLinks.remove(this);
                mListener.onDown(this, reason);
            }
        }

        @Override
        public void close(String reason) {
            down(reason);
        }

        @Override
        public String remote() {
            return "fake:" + mNumber;
        }
    }
}
