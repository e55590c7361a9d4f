package dev.cactusspan.entry;

import dev.cactusspan.claim.StoredResponse;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.result.Failure;
import dev.cactusspan.weight.VersionSpan;
import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Queries a target whether a request with a given idempotency key has run. */
final class StatusCheck implements ResponseSink {
    private static final int OK = 200;
    private static final int MAX_BYTES = 1 << 20;

    private final Consumer<StoredResponse> mOnResponse;
    private final Consumer<String> mOnUnknown;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private String mContentType = "";

    StatusCheck(Consumer<StoredResponse> onResponse, Consumer<String> onUnknown) {
        mOnResponse = onResponse;
        mOnUnknown = onUnknown;
    }

    /** Returns the request that queries the outcome of another request. */
    static RequestSpec spec(RequestSpec original, String pathTemplate) {
        String key = URLEncoder.encode(original.idempotencyKey(), StandardCharsets.UTF_8);
        return new RequestSpec(
                RequestId.of(original.id() + "-status"),
                original.account(),
                original.keyHash(),
                original.route(),
                RequestClass.INTERACTIVE,
                "GET",
                pathTemplate.replace("{key}", key),
                Map.of(),
                new byte[0],
                0,
                original.deadlineMs(),
                false,
                original.minVersion(),
                "");
    }

    @Override
    public void head(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
        mBody.reset();
    }

    @Override
    public void data(byte[] data) {
        if (mBody.size() + data.length <= MAX_BYTES) {
            mBody.writeBytes(data);
        }
    }

    @Override
    public void end(List<VersionSpan> labels) {
        if (mStatus == OK) {
            mOnResponse.accept(
                    new StoredResponse(mStatus, mContentType, mBody.toByteArray(), false));
            return;
        }
        mOnUnknown.accept("the target's status check answered " + mStatus);
    }

    @Override
    public void fail(Failure failure) {
        mOnUnknown.accept("the status check failed: " + failure.detail());
    }

    @Override
    public boolean isStreaming() {
        return false;
    }
}
