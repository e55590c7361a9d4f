package dev.cactusspan.forward;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.SendFailure;
import java.util.Optional;
import java.util.function.Supplier;

/** Logs and counts the outcomes of forwarded requests and of their attempts. */
final class RequestLog {
    private final Supplier<Optional<DesiredState>> mDesired;
    private final Telemetry mTelemetry;

    RequestLog(Supplier<Optional<DesiredState>> desired, Telemetry telemetry) {
        mDesired = desired;
        mTelemetry = telemetry;
    }

    void retried() {
        mTelemetry.count("forward_retries_total");
    }

    void failed(
            ForwardedRequest pending,
            Attempt attempt,
            SendFailure failure,
            String reason,
            long afterMs) {
        Decision.of("attempt_failed")
                .with("request", pending.request().id().value())
                .with("fingerprint", pending.fingerprint().value())
                .with("target", attempt.target().record().id().value())
                .with("failure", failure)
                .with("reason", reason)
                .with("after_ms", afterMs)
                .info();
    }

    void dropped(Attempt attempt, String reason) {
        mTelemetry.count("responses_dropped_total", "reason", "memory");
        Decision.of("response_dropped")
                .with("target", attempt.target().record().id().value())
                .with("bytes", attempt.bodyBytes())
                .with("reason", reason)
                .warn();
    }

    void ended(ForwardedRequest pending, String outcome, long durationMs) {
        String route = pending.route().name().value();
        mTelemetry.count("forward_requests_total", "route", route, "outcome", outcome);
        mTelemetry.record("forward_ms", "route", route, durationMs);
        Decision.of("request_ended")
                .with("request", pending.request().id().value())
                .with("route", route)
                .with("account", pending.account().map(AccountId::value).orElse(""))
                .with("revision", mDesired.get().map(DesiredState::revision).orElse(Revision.NONE))
                .with("targets", pending.triedTargets().toString())
                .with("software", pending.latestSoftware())
                .with("after_event", pending.request().resumeAfter().orElse(0))
                .with("sends", pending.sendCount())
                .with("runs", pending.possibleRunCount())
                .with("failure", pending.lastFailure().map(Failure::toString).orElse(""))
                .with("took_ms", durationMs)
                .with("outcome", outcome)
                .info();
    }
}
