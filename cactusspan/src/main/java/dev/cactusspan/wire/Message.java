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
    @JsonSubTypes.Type(value = Message.PermitsRequest.class, name = "ap"),
    @JsonSubTypes.Type(value = Message.Reply.class, name = "rp"),
})
public sealed interface Message {

    /**
     * The first frame from an entry process.
     *
     * @param environment the environment it serves
     * @param vm its VM
     * @param zone its availability zone
     * @param incarnation differs after each start of the process
     */
    record EntryHello(EnvironmentId environment, VmId vm, AvailabilityZoneId zone, long incarnation)
            implements Message {}

    /**
     * The first frame from a side process.
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
     * Sent at an interval, so that the receiver can detect a broken link; also reports freshness.
     *
     * @param configAgeMs age of the sender's configuration
     * @param platformDown true if the sender knows that no region has a more recently confirmed
     *     document
     */
    record Heartbeat(long configAgeMs, boolean platformDown) implements Message {}

    /**
     * Reports the load of a target.
     *
     * @param inFlight requests at the target
     * @param queued requests in the queue for the target
     * @param slots maximum number of concurrent requests at the target
     * @param version active weight version, zero for a service without weights or if unknown
     * @param leaving true if the target accepts no new requests
     */
    record Load(int inFlight, int queued, int slots, WeightVersion version, boolean leaving)
            implements Message {}

    /**
     * Sets the interval at which a side process reports load.
     *
     * @param intervalMs minimum time between two reports
     */
    record ReportEvery(long intervalMs) implements Message {}

    /**
     * The weight versions that a target should have.
     *
     * @param service the model
     * @param staged version to load in advance
     * @param active version to serve
     */
    record DesiredWeights(ServiceId service, WeightVersion staged, WeightVersion active)
            implements Message {}

    /**
     * Tells a side process that its target will be stopped and must accept no new requests.
     *
     * @param duty the duty under which the order is sent
     * @param fencing fencing number of the duty's holder
     */
    record Leave(DutyId duty, FencingNumber fencing) implements Message {}

    /**
     * A new value of the key-value service, forwarded between entry processes.
     *
     * @param subject the kind of value
     * @param version its version in the key-value service
     * @param value the value, compressed with gzip
     */
    record Update(Subject subject, long version, byte[] value) implements Message {
        /** Values that entry processes forward. */
        public enum Subject {
            /** The environment document. */
            DOCUMENT,
            /** The desired weight versions. */
            WEIGHTS
        }
    }

    /**
     * Demand by client account. Entry processes form a tree: sums of subtrees are sent up the tree
     * and between roots, and the total is sent down.
     *
     * @param total true for the total over all entries
     * @param perS requests per second by account
     */
    record Demand(boolean total, Map<AccountId, Double> perS) implements Message {}

    /**
     * Submits a request for the target.
     *
     * @param stream number of the request on this connection, never reused on it
     * @param request id of the request for logs
     * @param account the client account
     * @param weight weight of the account in fair sharing
     * @param requestClass class of the request
     * @param method HTTP method
     * @param path path and query at the target
     * @param headers headers for the target
     * @param body body for the target
     * @param deadlineMs remaining time in milliseconds
     * @param labelled true if the response must report its weight versions
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
     * Cancels a request whose response is no longer needed.
     *
     * @param stream number of the request
     */
    record Cancel(long stream) implements Message {}

    /**
     * The start of a response.
     *
     * @param stream number of the request
     * @param status HTTP status
     * @param contentType content type, empty if none
     */
    record Head(long stream, int status, String contentType) implements Message {}

    /**
     * A part of a response body.
     *
     * @param stream number of the request
     * @param sequence number of the part from zero
     * @param data bytes of the response
     */
    record Chunk(long stream, int sequence, byte[] data) implements Message {}

    /**
     * The end of a complete response.
     *
     * @param stream number of the request
     * @param chunks number of parts
     * @param answerBytes number of bytes in the response body
     * @param labels weight versions that produced the response, empty if unknown
     */
    record End(long stream, int chunks, long answerBytes, List<VersionSpan> labels)
            implements Message {}

    /**
     * Reports that a request failed.
     *
     * @param stream number of the request
     * @param kind the error kind, which tells whether the request was executed
     * @param detail one-line description for people
     */
    record Refused(long stream, ErrorKind kind, String detail) implements Message {}

    /**
     * The first frame from a process that opens a link to another process of the same kind.
     *
     * @param system protocol name, so that a process of another system gets no response
     * @param owner owner name of the sender (VM and boot)
     */
    record PeerHello(String system, String owner) implements Message {}

    /**
     * Requests results from the owner of a batch.
     *
     * @param ask number of the request on this link
     * @param batch the batch
     * @param after position of the first result to return
     * @param waitMs how long to wait for a result
     */
    record ResultsRequest(long ask, BatchId batch, int after, long waitMs) implements Message {}

    /**
     * Requests that another process performs an operation on the store.
     *
     * @param ask number of the request on this link
     * @param body the operation as JSON
     */
    record StoreRequest(long ask, byte[] body) implements Message {}

    /**
     * Requests permits to send to a target that limits its requests.
     *
     * @param ask number of the request on this link
     * @param body the target, its limit and the number of permits, as JSON
     */
    record PermitsRequest(long ask, byte[] body) implements Message {}

    /**
     * The reply to a request.
     *
     * @param ask number of the request
     * @param outcome the outcome of the request
     * @param body the requested value, as JSON or bytes
     */
    record Reply(long ask, Outcome outcome, byte[] body) implements Message {
        /** The outcome of a request. */
        public enum Outcome {
            /** The body has the requested value. */
            FOUND,
            /** The requested value does not exist. */
            ABSENT,
            /** The process that received the request does not own the batch. */
            NOT_OWNER
        }
    }
}
