package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetListener;
import dev.cactusspan.fleet.TargetLoad;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.http.ResponseListener;
import dev.cactusspan.http.ResponseTag;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import dev.cactusspan.text.JsonText;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Sends requests, load queries and weight orders to targets over HTTP. */
public final class PlatformTargets implements TargetPort {
    private static final int MISDIRECTED = 421;

    /**
     * Time-out of orders and load queries, in milliseconds. Targets respond to orders at once, so a
     * later response is considered lost.
     */
    private static final long ORDER_TIMEOUT_MS = 1_000;

    /**
     * Time after which a request is not sent any more, in milliseconds. The time left that it names
     * may be half a second too long, and what its decision rested on may be replaced.
     */
    private static final long MAX_SEND_DELAY_MS = 400;

    /** Maximum size of a target's response to a request. */
    private static final long MAX_RESPONSE_BYTES = 8 << 20;

    private static final int MAX_ORDER_RESPONSE_BYTES = 16 << 10;
    private static final int MAX_REPORT_BYTES = 1 << 20;

    /** Tag of orders and load queries, which bear no id. */
    private static final ResponseTag CALL = new ResponseTag(PlatformHeaders.REQUEST_ID, "");

    private final HttpClient mHttp;
    private final Executor mThread;

    /**
     * Creates the port.
     *
     * @param http sends the requests
     * @param thread the thread on which listeners are called
     */
    public PlatformTargets(HttpClient http, Executor thread) {
        mHttp = http;
        mThread = thread;
    }

    @Override
    public Runnable send(TargetRecord target, TargetRequest request, TargetListener listener) {
        HttpRequest httpRequest =
                new HttpRequest(
                        request.method(),
                        target.address(),
                        request.path(),
                        headers(target, request),
                        request.body(),
                        request.timeLeftMs(),
                        MAX_RESPONSE_BYTES,
                        false,
                        new ResponseTag(PlatformHeaders.REQUEST_ID, request.id()),
                        MAX_SEND_DELAY_MS);
        return mHttp.send(httpRequest, new ResponseRelay(httpRequest.tag(), listener));
    }

    static Map<String, String> headers(TargetRecord target, TargetRequest request) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put("Host", request.host());
        headers.put(PlatformHeaders.REQUEST_ID, request.id());
        headers.put(PlatformHeaders.TIME_LEFT, Long.toString(Math.max(1, request.timeLeftMs())));
        headers.put(PlatformHeaders.EXPECTED_TARGET, target.id().value());
        request.account().ifPresent(a -> headers.put(PlatformHeaders.ACCOUNT, a.value()));
        request.resumeAfter()
                .ifPresent(n -> headers.put(PlatformHeaders.LAST_EVENT_ID, Long.toString(n)));
        request.priority()
                .ifPresent(n -> headers.put(PlatformHeaders.URGENCY, Integer.toString(n)));
        return headers;
    }

    @Override
    public EventDecoder newDecoder() {
        return new PlatformEvents();
    }

    @Override
    public CompletableFuture<Result<TargetLoad>> load(TargetRecord target) {
        return mHttp.collect(
                        HttpRequest.get(target.address(), "/-/report", ORDER_TIMEOUT_MS)
                                .withTag(CALL),
                        MAX_REPORT_BYTES)
                .thenApply(
                        r ->
                                r.flatMap(a -> own(a, ErrorKind.TARGET_FAILED))
                                        .flatMap(a -> JsonText.read(a.body(), JsonNode.class))
                                        .map(
                                                n ->
                                                        new TargetLoad(
                                                                n.path("running").asInt(),
                                                                n.path("waiting").asInt(),
                                                                n.path("sequence").asLong(),
                                                                n.path("busy").asBoolean())));
    }

    @Override
    public CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders) {
        Map<String, Object> order = new LinkedHashMap<>();
        order.put("op", "version");
        order.put("model", model.value());
        order.put("version", version.number());
        order.put("mode", "retain");
        order.put("holder", holder.value());
        order.put("fence", fencing.number());
        order.put("expected", expectedOrders);
        Map<String, String> headers =
                Map.of(
                        "Content-Type",
                        "application/json",
                        PlatformHeaders.EXPECTED_TARGET,
                        target.id().value());
        HttpRequest httpRequest =
                new HttpRequest(
                                "POST",
                                target.address(),
                                "/-/order",
                                headers,
                                JsonText.write(order),
                                ORDER_TIMEOUT_MS,
                                HttpRequest.DEFAULT_MAX_BYTES,
                                false)
                        .withTag(CALL);
        return mHttp.collectWrite(httpRequest, MAX_ORDER_RESPONSE_BYTES)
                .thenApply(
                        r ->
                                r.flatMap(a -> own(a, ErrorKind.OUTCOME_UNKNOWN))
                                        .map(PlatformTargets::outcome));
    }

    /** Returns the response to a call, or a failure if it belongs to a request. */
    private static Result<HttpResponse> own(HttpResponse response, ErrorKind kind) {
        if (CALL.isOwn(response.headers())) {
            return Result.of(response);
        }
        String id = PlatformHeaders.get(response.headers(), PlatformHeaders.REQUEST_ID);
        return Result.fail(kind, "the answer belongs to request " + id);
    }

    private static OrderOutcome outcome(HttpResponse response) {
        return switch (response.status()) {
            case 202 -> OrderOutcome.ACCEPTED;
            case 200 -> OrderOutcome.HOLDS;
            case 409 -> OrderOutcome.BUSY;
            case 412 -> OrderOutcome.FENCED;
            default -> OrderOutcome.REFUSED;
        };
    }

    /** Parses the head of a response and passes all events to the thread of the listeners. */
    private final class ResponseRelay implements ResponseListener {
        private final ResponseTag mTag;
        private final TargetListener mListener;

        ResponseRelay(ResponseTag tag, TargetListener listener) {
            mTag = tag;
            mListener = listener;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            ResponseHead head = head(status, headers);
            mThread.execute(() -> mListener.onHead(head));
        }

        private ResponseHead head(int status, Map<String, String> headers) {
            String version = PlatformHeaders.get(headers, PlatformHeaders.WEIGHT_VERSION);
            return new ResponseHead(
                    status,
                    PlatformHeaders.forwarded(headers),
                    PlatformHeaders.get(headers, PlatformHeaders.RESPONSE_DIGEST),
                    !PlatformHeaders.get(headers, PlatformHeaders.NOT_EXECUTED).isEmpty()
                            || status == MISDIRECTED,
                    status == MISDIRECTED,
                    mTag.isOwn(headers),
                    version.matches("[0-9]{1,18}")
                            ? WeightVersion.of(Long.parseLong(version))
                            : WeightVersion.NONE,
                    headers.getOrDefault("content-type", "").startsWith("text/event-stream"),
                    PlatformHeaders.requestLimit(headers),
                    PlatformHeaders.get(headers, PlatformHeaders.LEAVING).strip().equals("1"),
                    PlatformHeaders.coldMs(headers));
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            mThread.execute(() -> mListener.onData(data, consumed));
        }

        @Override
        public void onEnd() {
            mThread.execute(mListener::onEnd);
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            mThread.execute(() -> mListener.onFailure(failure, reason));
        }
    }
}
