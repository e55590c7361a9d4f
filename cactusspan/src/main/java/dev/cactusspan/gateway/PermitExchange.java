package dev.cactusspan.gateway;

import dev.cactusspan.fleet.PermitGrant;
import dev.cactusspan.fleet.PermitIssuer;
import dev.cactusspan.fleet.PermitRequest;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.PeerClient;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Requests permits for targets that limit their requests, and issues those of the targets that
 * rendezvous hashing assigns to this process.
 */
final class PermitExchange {
    /** Time allowed to the issuer beyond the wait for a permit, in milliseconds. */
    private static final long ISSUER_SLACK_MS = 400;

    private final TargetTable mTargets;
    private final NodeDirectory mNodes;
    private final String mSelf;
    private final PeerClient mPeers;
    private final Executor mThread;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final PermitIssuer mIssuer = new PermitIssuer();

    PermitExchange(
            TargetTable targets,
            NodeDirectory nodes,
            String self,
            PeerClient peers,
            Executor thread,
            Telemetry telemetry,
            LongSupplier nowMs) {
        mTargets = targets;
        mNodes = nodes;
        mSelf = self;
        mPeers = peers;
        mThread = thread;
        mTelemetry = telemetry;
        mNowMs = nowMs;
    }

    /** Requests the permits that are wanted, and issues those that are due. */
    void tick() {
        long nowMs = mNowMs.getAsLong();
        mIssuer.tick(nowMs);
        for (TargetState target : mTargets.all()) {
            target.nextPermitRequest(nowMs).ifPresent(request -> send(target, request));
        }
    }

    private void send(TargetState target, PermitRequest request) {
        Optional<String> issuer = mNodes.choose("permits/" + request.target().value());
        if (issuer.equals(Optional.of(mSelf))) {
            mIssuer.request(request, mNowMs.getAsLong(), grant -> receive(target, grant));
            return;
        }
        Optional<NodeRecord> node = issuer.flatMap(mNodes::find);
        if (node.isEmpty()) {
            receive(target, PermitGrant.NONE);
            return;
        }
        FutureResults.deliver(
                mPeers.request(
                        node.get(),
                        number -> new Message.PermitsRequest(number, JsonText.write(request)),
                        PermitIssuer.MAX_WAIT_MS + ISSUER_SLACK_MS),
                mThread,
                (Result<Message.Reply> r) ->
                        receive(
                                target,
                                r.flatMap(reply -> JsonText.read(reply.body(), PermitGrant.class))
                                        .fold(f -> failed(request, node.get(), f), g -> g)));
    }

    private static PermitGrant failed(PermitRequest request, NodeRecord issuer, Failure failure) {
        Decision.of("permits_unavailable")
                .with("target", request.target().value())
                .with("issuer", issuer.owner())
                .with("reason", failure.toString())
                .info();
        return PermitGrant.NONE;
    }

    private void receive(TargetState target, PermitGrant grant) {
        mTelemetry.add("permits_received_total", grant.permits());
        target.onPermits(grant, mNowMs.getAsLong());
    }

    /** Responds to a request of another process. */
    void respond(Message.PermitsRequest message, PeerClient.ReplyConsumer consumer) {
        JsonText.read(message.body(), PermitRequest.class)
                .fold(
                        f -> {
                            reply(message, PermitGrant.NONE, consumer);
                            return null;
                        },
                        request -> {
                            mIssuer.request(
                                    request,
                                    mNowMs.getAsLong(),
                                    grant -> reply(message, grant, consumer));
                            return null;
                        });
    }

    private void reply(
            Message.PermitsRequest message, PermitGrant grant, PeerClient.ReplyConsumer consumer) {
        mTelemetry.add("permits_issued_total", grant.permits());
        consumer.accept(
                new Message.Reply(
                        message.ask(), Message.Reply.Outcome.FOUND, JsonText.write(grant)));
    }
}
