package dev.cactusspan.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;
import java.util.Map;

/** A message between two processes of the system. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Message.EntryHello.class, name = "eh"),
    @JsonSubTypes.Type(value = Message.SideHello.class, name = "sh"),
    @JsonSubTypes.Type(value = Message.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = Message.Load.class, name = "ld"),
    @JsonSubTypes.Type(value = Message.ReportEvery.class, name = "rv"),
    @JsonSubTypes.Type(value = Message.DesiredWeights.class, name = "ww"),
    @JsonSubTypes.Type(value = Message.Leave.class, name = "le"),
    @JsonSubTypes.Type(value = Message.Update.class, name = "ne"),
    @JsonSubTypes.Type(value = Message.Demand.class, name = "de"),
    @JsonSubTypes.Type(value = Message.Submit.class, name = "su"),
    @JsonSubTypes.Type(value = Message.Cancel.class, name = "ca"),
    @JsonSubTypes.Type(value = Message.Head.class, name = "he"),
    @JsonSubTypes.Type(value = Message.Chunk.class, name = "ch"),
    @JsonSubTypes.Type(value = Message.End.class, name = "en"),
    @JsonSubTypes.Type(value = Message.Refused.class, name = "re"),
    @JsonSubTypes.Type(value = Message.PeerHello.class, name = "ph"),
    @JsonSubTypes.Type(value = Message.ResultsRequest.class, name = "ar"),
    @JsonSubTypes.Type(value = Message.StoreRequest.class, name = "as"),
    @JsonSubTypes.Type(value = Message.Reply.class, name = "rp"),
})
public sealed interface Message {

    /**
     * First frame from an entry.
     *
     * @param environment the environment it serves
     * @param vm its VM
     * @param zone its availability zone
     * @param incarnation differs after each start of the process
     */
    record EntryHello(EnvironmentId environment, VmId vm, AvailabilityZoneId zone, long incarnation)
            implements Message {}

    /**
     * First frame from a side process.
     *
     * @param environment the environment it serves
     * @param service the service that its target belongs to
     * @param target its target
     * @param vm its VM
     * @param zone its availability zone
     * @param incarnation differs after each start of the process
     */
    record SideHello(
            EnvironmentId environment,
            ServiceId service,
            TargetId target,
            VmId vm,
            AvailabilityZoneId zone,
            long incarnation)
            implements Message {}

    /**
     * Sent at an interval.
     *
     * @param configAgeMs age of the sender's configuration
     * @param platformDown true if the sender knows that no entry of any region has fresher news
     */
    record Heartbeat(long configAgeMs, boolean platformDown) implements Message {}

    /**
     * Load of a target.
     *
     * @param inFlight requests at the target
     * @param queued requests in the queue before it
     * @param slots requests that the target takes at a time
     * @param version weight version in force, zero for a plain service or if unknown
     * @param leaving true if it takes no new work
     */
    record Load(int inFlight, int queued, int slots, WeightVersion version, boolean leaving)
            implements Message {}

    /**
     * Asks a side process for reports of load at another interval.
     *
     * @param intervalMs shortest time between two reports
     */
    record ReportEvery(long intervalMs) implements Message {}

    /**
     * Weight versions that a target should hold.
     *
     * @param service the model
     * @param staged version to load ahead
     * @param active version to serve
     */
    record DesiredWeights(ServiceId service, WeightVersion staged, WeightVersion active)
            implements Message {}

    /**
     * The target is to be stopped: it takes no new work.
     *
     * @param duty the duty under which the order is given
     * @param fencing fencing number of the duty's holder
     */
    record Leave(DutyId duty, FencingNumber fencing) implements Message {}

    /**
     * A value of the key-value service, handed on from entry to entry.
     *
     * @param subject which value
     * @param version its version in the key-value service
     * @param value the value, compressed with gzip
     */
    record Update(Subject subject, long version, byte[] value) implements Message {
        /** Values that entries hand on. */
        public enum Subject {
            /** The environment document. */
            DOCUMENT,
            /** The wanted weights. */
            WEIGHTS
        }
    }

    /**
     * Demand of client accounts: the sum of a subtree on its way up or between roots, or the total
     * on its way down.
     *
     * @param total true for the total over all entries
     * @param perS requests a second by account
     */
    record Demand(boolean total, Map<AccountId, Double> perS) implements Message {}

    /**
     * A request for the target.
     *
     * @param stream number of the request on this connection, never reused on it
     * @param request id of the request for logs
     * @param account the client account
     * @param weight share of the account
     * @param requestClass class of the request
     * @param method HTTP method
     * @param path path and query at the target
     * @param headers headers for the target
     * @param body body for the target
     * @param deadlineMs time left
     * @param labelled true if weight versions are to be reported
     */
    record Submit(
            long stream,
            RequestId request,
            AccountId account,
            int weight,
            RequestClass requestClass,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long deadlineMs,
            boolean labelled)
            implements Message {}

    /**
     * The caller no longer wants the answer.
     *
     * @param stream number of the request
     */
    record Cancel(long stream) implements Message {}

    /**
     * Start of an answer.
     *
     * @param stream number of the request
     * @param status HTTP status
     * @param contentType content type, empty if none
     */
    record Head(long stream, int status, String contentType) implements Message {}

    /**
     * A part of an answer.
     *
     * @param stream number of the request
     * @param sequence number of the part from zero
     * @param data bytes of the answer
     */
    record Chunk(long stream, int sequence, byte[] data) implements Message {}

    /**
     * End of an answer that is whole.
     *
     * @param stream number of the request
     * @param chunks how many parts there were
     * @param answerBytes how many bytes there were
     * @param labels weight versions that produced the answer, empty if not known
     */
    record End(long stream, int chunks, long answerBytes, List<VersionSpan> labels)
            implements Message {}

    /**
     * A request that failed.
     *
     * @param stream number of the request
     * @param kind the error kind, which says whether the request has run
     * @param detail one line for a person
     */
    record Refused(long stream, ErrorKind kind, String detail) implements Message {}

    /**
     * First frame from a process that opens a link to another of its kind.
     *
     * @param system names the system, so that a stranger is not answered
     * @param owner VM and boot of the sender
     */
    record PeerHello(String system, String owner) implements Message {}

    /**
     * Asks the owner of a batch for results.
     *
     * @param ask number of the question on this link
     * @param batch the batch
     * @param after first position
     * @param waitMs how long to wait for a result
     */
    record ResultsRequest(long ask, BatchId batch, int after, long waitMs) implements Message {}

    /**
     * Asks another process to make a call to the store.
     *
     * @param ask number of the question on this link
     * @param body the call as JSON
     */
    record StoreRequest(long ask, byte[] body) implements Message {}

    /**
     * Answers a question.
     *
     * @param ask number of the question
     * @param outcome how it was answered
     * @param body what was asked for, as JSON or bytes
     */
    record Reply(long ask, Outcome outcome, byte[] body) implements Message {
        /** How a question was answered. */
        public enum Outcome {
            /** The body holds what was asked for. */
            FOUND,
            /** There is no such thing. */
            ABSENT,
            /** The asked process does not own the batch. */
            NOT_OWNER
        }
    }
}
