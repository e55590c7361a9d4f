package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import java.util.Optional;

/**
 * Submits client requests, those that resume a stream only once its origin is known. A stream whose
 * origin is not known is rejected at once, as going on anywhere else would join two texts.
 */
public final class StreamResumer {
    /** Retry-After hint while origins cannot be looked up, in milliseconds. */
    private static final long RETRY_AFTER_MS = 250;

    private final RequestForwarder mForwarder;
    private final StreamOrigins mOrigins;
    private final Telemetry mTelemetry;

    /**
     * Creates a resumer.
     *
     * @param forwarder forwards the requests
     * @param origins knows where streams began
     * @param telemetry records metrics
     */
    public StreamResumer(RequestForwarder forwarder, StreamOrigins origins, Telemetry telemetry) {
        mForwarder = forwarder;
        mOrigins = origins;
        mTelemetry = telemetry;
    }

    /**
     * Submits a request whose route is known.
     *
     * @param request the request
     * @param route the route of the request
     * @param account the client account that the request runs for
     * @param sink writes the response
     * @return an action that abandons the request, to be run when the client disconnects
     */
    public Runnable submit(
            ClientRequest request, FleetRoute route, Optional<AccountId> account, ClientSink sink) {
        if (!route.isResumable() || !request.isResumption()) {
            return mForwarder.submit(request, route, account, Optional.empty(), sink);
        }
        Resumption resumption = new Resumption(request, route, account, sink);
        request.resumes()
                .ifPresentOrElse(
                        first -> mOrigins.find(first, route, resumption::onOrigin),
                        () ->
                                resumption.reject(
                                        Failure.of(
                                                ErrorKind.STREAM_ORIGIN_UNKNOWN,
                                                "the request does not name the first attempt"),
                                        0));
        return resumption::abandon;
    }

    /** A request that resumes a stream. */
    private final class Resumption {
        private final ClientRequest mRequest;
        private final FleetRoute mRoute;
        private final Optional<AccountId> mAccount;
        private final ClientSink mSink;
        private boolean mIsAbandoned;
        private Runnable mAbandon = () -> {};

        Resumption(
                ClientRequest request,
                FleetRoute route,
                Optional<AccountId> account,
                ClientSink sink) {
            mRequest = request;
            mRoute = route;
            mAccount = account;
            mSink = sink;
        }

        void abandon() {
            mIsAbandoned = true;
            mAbandon.run();
        }

        private void onOrigin(Result<StreamOrigin> result) {
            if (mIsAbandoned) {
                return;
            }
            result.fold(
                    failure -> {
                        boolean isUnknown = failure.kind() == ErrorKind.STREAM_ORIGIN_UNKNOWN;
                        reject(failure, isUnknown ? 0 : RETRY_AFTER_MS);
                        return null;
                    },
                    origin -> {
                        resume(origin);
                        return null;
                    });
        }

        private void resume(StreamOrigin origin) {
            boolean isServed =
                    mRoute.shares().stream().anyMatch(s -> s.service().equals(origin.service()));
            if (!isServed) {
                reject(
                        Failure.of(
                                ErrorKind.STREAM_ORIGIN_UNKNOWN,
                                "the route has left " + origin.service()),
                        0);
                return;
            }
            log("stream_resumed", origin.toString());
            mAbandon = mForwarder.submit(mRequest, mRoute, mAccount, Optional.of(origin), mSink);
        }

        private void reject(Failure failure, long retryAfterMs) {
            mTelemetry.count("resumptions_rejected_total", "kind", failure.kind().wireName());
            log("resumption_rejected", failure.toString());
            mSink.fail(failure, retryAfterMs);
        }

        private void log(String event, String outcome) {
            Decision.of(event)
                    .with("request", mRequest.id().value())
                    .with("resumes", mRequest.resumes().map(RequestId::value).orElse(""))
                    .with("after_event", mRequest.resumeAfter().orElse(0))
                    .with("outcome", outcome)
                    .info();
        }
    }
}
