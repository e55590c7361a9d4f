package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.result.ErrorKind;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests streams whose first bytes arrive before their origin is recorded. */
final class WithheldStreamTest extends RequestForwarderFixture {
    private static final FleetRoute RESUMABLE =
            new FleetRoute(
                    RouteId.of("r"),
                    "h",
                    "/",
                    RouteKind.STREAMING,
                    10_000,
                    400,
                    0,
                    List.of(new FleetRoute.Share(ServiceId.of("app"), 1)),
                    MAX_ATTEMPTS,
                    false,
                    true,
                    new FleetRoute.BatchBounds(0, 0, false));

    private final Sink mSink = new Sink();

    private Runnable begin() {
        targets(1);
        mOrigins.hold();
        Runnable abandon =
                mForwarder.submit(
                        new ClientRequest(
                                RequestId.of("a"),
                                "POST",
                                "/x",
                                "h",
                                Map.of(),
                                new byte[0],
                                Optional.empty(),
                                OptionalLong.of(10_000),
                                OptionalLong.empty(),
                                Optional.empty()),
                        RESUMABLE,
                        Optional.empty(),
                        Optional.empty(),
                        mSink);
        mPort.last().startStream(1);
        mPort.last().event(1, "x");
        return abandon;
    }

    @Test
    void shouldPassTheStreamOnOnceItsOriginIsRecorded() {
        begin();
        assertThat(mSink.mStatuses, is(empty()));
        mOrigins.release(true);
        assertThat(mSink.mBody.toString(), is("1|x\n"));
        mPort.last().event(2, "y");
        mPort.last().end();
        assertThat(mSink.mBody.toString(), is("1|x\n2|y\n"));
        assertThat(mSink.mLastCall, is("end"));
    }

    @Test
    void shouldPassAStreamOnThatEndedMeanwhile() {
        begin();
        mPort.last().end();
        mOrigins.release(true);
        assertThat(mSink.mBody.toString(), is("1|x\n"));
        assertThat(mSink.mLastCall, is("end"));
    }

    @Test
    void shouldFailTheRequestWithoutAPromiseWhenItsOriginIsNotRecorded() {
        begin();
        mOrigins.release(false);
        assertThat(mSink.mFailures.get(0).kind(), is(ErrorKind.TARGET_FAILED));
        assertThat(mSink.mBody.toString(), is(""));
        assertThat(mPort.last().isCancelled(), is(true));
        assertThat(mForwarder.size(), is(0));
    }

    @Test
    void shouldNotPassAnythingOnAfterTheStreamBrokeOff() {
        begin();
        mPort.last().disconnect();
        mOrigins.release(true);
        assertThat(mSink.mBody.toString(), is(""));
        assertThat(mSink.mLastCall, is("abort"));
    }
}
