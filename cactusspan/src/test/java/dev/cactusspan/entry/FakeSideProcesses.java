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
 * Simulates side processes behind in-memory links. A random draw decides whether each request is
 * run, refused, lost, or gets a truncated or late response. Actual runs are counted.
 */
final class FakeSideProcesses implements Dialer {
    private static final String OK_TEXT = "answer to ";

    private final Random mRandom;
    private final Map<String, Integer> mRunCounts = new HashMap<>();
    private final List<FakeLink> mLinks = new ArrayList<>();
    private final List<Message.Submit> mSubmits = new ArrayList<>();
    private LinkListener mListener;
    private double mFaultShare;
    private long mWeightVersion = 1;
    private int mNextTarget;

    FakeSideProcesses(Random random) {
        mRandom = random;
    }

    // Operations

    void setListener(LinkListener listener) {
        mListener = listener;
    }

    /** Sets the share of requests that get a fault. */
    void setFaultShare(double share) {
        mFaultShare = share;
    }

    /** Sets the weight version that the targets hold. */
    void setVersion(long version) {
        mWeightVersion = version;
        mLinks.forEach(FakeLink::reportLoad);
    }

    @Override
    public Link connect(InetSocketAddress address) {
        FakeLink link = new FakeLink(address.getPort(), mNextTarget++);
        mLinks.add(link);
        link.mPendingEvents.add(link::greet);
        return link;
    }

    /** Runs one pending event of a random link and returns whether there was any. */
    boolean runNext() {
        List<FakeLink> busy = mLinks.stream().filter(l -> !l.mPendingEvents.isEmpty()).toList();
        if (busy.isEmpty()) {
            return false;
        }
        FakeLink link = busy.get(mRandom.nextInt(busy.size()));
        link.mPendingEvents.remove(0).run();
        return true;
    }

    /** Breaks a random link. */
    void breakRandomLink() {
        if (!mLinks.isEmpty()) {
            mLinks.get(mRandom.nextInt(mLinks.size())).breakLink("broken");
        }
    }

    // Accessors

    /** Returns the number of runs by idempotency key, or by request id without a key. */
    Map<String, Integer> runCounts() {
        return mRunCounts;
    }

    List<Message.Submit> submits() {
        return mSubmits;
    }

    static String expected(String body) {
        return OK_TEXT + body;
    }

    /** A link to a fake side process. */
    private final class FakeLink implements Link {
        private final List<Runnable> mPendingEvents = new ArrayList<>();
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
            receive(new Message.Load(0, 0, 16, WeightVersion.of(mWeightVersion), false));
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
                mPendingEvents.add(() -> handle(submit));
            }
            return true;
        }

        private void handle(Message.Submit submit) {
            if (mIsDown) {
                return;
            }
            if (mRandom.nextDouble() >= mFaultShare) {
                respond(submit, false);
                return;
            }
            switch (mRandom.nextInt(6)) {
                case 0 -> refuse(submit, ErrorKind.OVERLOADED);
                case 1 -> breakLink("killed before it ran");
                case 2 -> {
                    run(submit);
                    breakLink("killed after it ran");
                }
                case 3 -> {
                    run(submit);
                    refuse(submit, ErrorKind.TARGET_FAILED);
                }
                case 4 -> respond(submit, true);
                default -> run(submit);
            }
        }

        private void refuse(Message.Submit submit, ErrorKind kind) {
            mPendingEvents.add(() -> receive(new Message.Refused(submit.stream(), kind, "drawn")));
        }

        private void run(Message.Submit submit) {
            String key = submit.headers().getOrDefault("idempotency-key", submit.request().value());
            mRunCounts.merge(key, 1, Integer::sum);
        }

        /** Responds in two chunks; a truncated response lacks the second. */
        private void respond(Message.Submit submit, boolean isTruncated) {
            run(submit);
            String text = submit.labelled() ? events(submit) : expected(body(submit));
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int half = bytes.length / 2;
            byte[] one = Arrays.copyOf(bytes, half);
            byte[] two = Arrays.copyOfRange(bytes, half, bytes.length);
            long stream = submit.stream();
            mPendingEvents.add(() -> receive(new Message.Head(stream, 200, "text/plain")));
            mPendingEvents.add(() -> receive(new Message.Chunk(stream, 0, one)));
            if (!isTruncated) {
                mPendingEvents.add(() -> receive(new Message.Chunk(stream, 1, two)));
            }
            mPendingEvents.add(
                    () -> receive(new Message.End(stream, 2, bytes.length, labels(submit))));
        }

        private List<VersionSpan> labels(Message.Submit submit) {
            return submit.labelled()
                    ? List.of(new VersionSpan(WeightVersion.of(mWeightVersion), 0, 1))
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

        private void breakLink(String reason) {
            if (!mIsDown) {
                mIsDown = true;
                mPendingEvents.clear();
                mLinks.remove(this);
                mListener.onDown(this, reason);
            }
        }

        @Override
        public void close(String reason) {
            breakLink(reason);
        }

        @Override
        public String remote() {
            return "fake:" + mNumber;
        }
    }
}
