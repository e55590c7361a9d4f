package dev.cactusspan.fleet;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Targets whose responses are controlled by a test. */
public final class FakeTargets implements TargetPort {
    private final List<Sent> mSent = new ArrayList<>();
    private final List<Order> mOrders = new ArrayList<>();
    private TargetLoad mLoad = new TargetLoad(0, 0, 0, false);
    private Result<OrderOutcome> mOrderOutcome = Result.of(OrderOutcome.ACCEPTED);

    /** A request sent to a target. */
    public static final class Sent {
        private final TargetRecord mTarget;
        private final TargetRequest mRequest;
        private final TargetListener mListener;
        private boolean mIsCancelled;
        private OptionalDouble mRequestLimitPerS = OptionalDouble.empty();
        private boolean mIsTargetLeaving;

        Sent(TargetRecord target, TargetRequest request, TargetListener listener) {
            mTarget = target;
            mRequest = request;
            mListener = listener;
        }

        public TargetRequest request() {
            return mRequest;
        }

        public TargetRecord target() {
            return mTarget;
        }

        public boolean isCancelled() {
            return mIsCancelled;
        }

        /** Has the target name a request limit in the responses that follow. */
        public Sent withLimit(double requestLimitPerS) {
            mRequestLimitPerS = OptionalDouble.of(requestLimitPerS);
            return this;
        }

        /** Has the target say that it leaves in the responses that follow. */
        public Sent leaving() {
            mIsTargetLeaving = true;
            return this;
        }

        /** Sends a complete success response with the target's digest. */
        public void succeed() {
            respond(200, "stamp-" + mRequest.id(), false);
        }

        public void respond(int status, String digest, boolean isNotRun) {
            mListener.onHead(head(status, digest, isNotRun, WeightVersion.NONE));
            mListener.onData("ok".getBytes(StandardCharsets.UTF_8), () -> {});
            mListener.onEnd();
        }

        public void startStream(long version) {
            mListener.onHead(head(200, "s", false, WeightVersion.of(version)));
        }

        /** Starts a stream that names no weight version, as one without any event left. */
        public void startStreamWithoutVersion() {
            mListener.onHead(head(200, "s", false, WeightVersion.NONE, true));
        }

        /** Starts a stream without the digest that each success carries. */
        public void startStreamWithoutDigest(long version) {
            mListener.onHead(head(200, "", false, WeightVersion.of(version)));
        }

        /** Sends a status of success and the given bytes of a body. */
        public void data(byte[] data) {
            mListener.onHead(head(200, "s", false, WeightVersion.NONE));
            mListener.onData(data, () -> {});
        }

        /** Sends a complete response that is not a stream of events. */
        public void respondWithoutEvents(int status, long version, String digest, String body) {
            mListener.onHead(head(status, digest, false, WeightVersion.of(version), false));
            if (!body.isEmpty()) {
                mListener.onData(body.getBytes(StandardCharsets.UTF_8), () -> {});
            }
            mListener.onEnd();
        }

        /** Sends an event with the given number. */
        public void event(long id, String text) {
            mListener.onData((id + "|" + text + "\n").getBytes(StandardCharsets.UTF_8), () -> {});
        }

        /** Sends an event from which on the given weight version generates. */
        public void event(long id, String text, long version) {
            event(id, text + "|" + version);
        }

        /** Sends all events after the last one that the request names, up to a number. */
        public void events(int upTo) {
            OptionalLong after = mRequest.resumeAfter();
            for (long id = after.orElse(0) + 1; id <= upTo; id++) {
                event(id, "t" + id);
            }
        }

        public void end() {
            mListener.onEnd();
        }

        public void disconnect() {
            mListener.onFailure(SendFailure.CONNECTION_LOST, "reset");
        }

        public void failBeforeSend() {
            mListener.onFailure(SendFailure.NOT_SENT, "cannot connect");
        }

        public void respondForOtherRequest() {
            respondForOtherRequest(200);
        }

        public void respondForOtherRequest(int status) {
            mListener.onHead(
                    new ResponseHead(
                            status,
                            Map.of(),
                            "x",
                            false,
                            false,
                            false,
                            WeightVersion.NONE,
                            false,
                            OptionalDouble.empty(),
                            mIsTargetLeaving));
        }

        private ResponseHead head(
                int status, String digest, boolean isNotRun, WeightVersion version) {
            return head(status, digest, isNotRun, version, version.number() > 0);
        }

        private ResponseHead head(
                int status,
                String digest,
                boolean isNotRun,
                WeightVersion version,
                boolean isEventStream) {
            return new ResponseHead(
                    status,
                    Map.of(),
                    digest,
                    isNotRun,
                    false,
                    true,
                    version,
                    isEventStream,
                    mRequestLimitPerS,
                    mIsTargetLeaving);
        }
    }

    /** An order sent to a target. */
    public record Order(
            TargetId target, WeightVersion version, FencingNumber fencing, long expectedOrders) {}

    public static TargetRecord record(String id, String service, int slots, long version) {
        return record(id, service, "v1", slots, version);
    }

    /** Returns the registration entry that a target has after it started again. */
    public static TargetRecord restarted(TargetRecord target) {
        return new TargetRecord(
                target.id(),
                target.service(),
                target.software(),
                target.address(),
                target.zone(),
                target.slots(),
                false,
                0,
                target.startedMs() + 1,
                target.versions());
    }

    /** Returns the registration entry of a target in another zone. */
    public static TargetRecord inZone(String zone, TargetRecord target) {
        return new TargetRecord(
                target.id(),
                target.service(),
                target.software(),
                target.address(),
                AvailabilityZoneId.of(zone),
                target.slots(),
                target.isLeaving(),
                target.orders(),
                target.startedMs(),
                target.versions());
    }

    /** Returns the registration entry of a target with the given version of its software. */
    public static TargetRecord record(
            String id, String service, String software, int slots, long version) {
        return new TargetRecord(
                TargetId.of(id),
                ServiceId.of(service),
                SoftwareVersion.of(software),
                URI.create("http://10.0.0.1:80"),
                AvailabilityZoneId.of("a"),
                slots,
                false,
                0,
                1,
                version == 0 ? Map.of() : Map.of(ModelId.of("m"), WeightVersion.of(version)));
    }

    public List<Sent> sent() {
        return mSent;
    }

    public Sent last() {
        return mSent.get(mSent.size() - 1);
    }

    public List<Order> orders() {
        return mOrders;
    }

    public void orderOutcome(Result<OrderOutcome> outcome) {
        mOrderOutcome = outcome;
    }

    public void loseOrders() {
        mOrderOutcome = Result.fail(ErrorKind.OUTCOME_UNKNOWN, "lost");
    }

    @Override
    public Runnable send(TargetRecord target, TargetRequest request, TargetListener listener) {
        Sent sent = new Sent(target, request, listener);
        mSent.add(sent);
        return () -> sent.mIsCancelled = true;
    }

    @Override
    public EventDecoder newDecoder() {
        return new EventDecoder() {
            @Override
            public List<TextEvent> feed(byte[] data) {
                String[] parts = new String(data, StandardCharsets.UTF_8).strip().split("\\|", -1);
                long version = parts.length > 2 ? Long.parseLong(parts[2]) : 0;
                return List.of(
                        new TextEvent(
                                Long.parseLong(parts[0]), parts[1], WeightVersion.of(version)));
            }

            @Override
            public boolean isInsideEvent() {
                return false;
            }

            @Override
            public boolean isOverLimit() {
                return false;
            }
        };
    }

    public void load(TargetLoad load) {
        mLoad = load;
    }

    @Override
    public CompletableFuture<Result<TargetLoad>> load(TargetRecord target) {
        return CompletableFuture.completedFuture(Result.of(mLoad));
    }

    @Override
    public CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders) {
        mOrders.add(new Order(target.id(), version, fencing, expectedOrders));
        return CompletableFuture.completedFuture(mOrderOutcome);
    }
}
