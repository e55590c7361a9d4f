package dev.cactusspan.http;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Collects a complete response, whose body is held in a budget until its end. */
final class ResponseCollector implements ResponseListener {
    /** Memory of a part besides its bytes. */
    private static final int PART_MEMORY_BYTES = 32;

    private final CompletableFuture<Result<HttpResponse>> mResponse = new CompletableFuture<>();
    private final ResponseBudget mBudget;
    private final Function<SendFailure, ErrorKind> mKindOfFailure;
    private final List<byte[]> mParts = new ArrayList<>();
    private int mStatus;
    private Map<String, String> mHeaders = Map.of();
    private Runnable mOnDropped = () -> {};
    private ResponseBudget.Hold mHold;

    ResponseCollector(ResponseBudget budget, Function<SendFailure, ErrorKind> kindOfFailure) {
        mBudget = budget;
        mKindOfFailure = kindOfFailure;
        mHold = budget.closed();
    }

    /**
     * Sets what gives the response up if there is no memory for its body, before it is sent for.
     */
    void whenDropped(Runnable onDropped) {
        mOnDropped = onDropped;
    }

    /** Returns the response once it is complete, or why there is none. */
    CompletableFuture<Result<HttpResponse>> response() {
        return mResponse;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = headers;
        mHold = mBudget.open(mOnDropped);
    }

    @Override
    public void onData(byte[] data, Runnable consumed) {
        mHold.grow(data.length + PART_MEMORY_BYTES);
        if (mHold.isOpen()) {
            mParts.add(data);
        }
        consumed.run();
    }

    @Override
    public void onEnd() {
        mHold.close();
        byte[] body = new byte[mParts.stream().mapToInt(part -> part.length).sum()];
        int at = 0;
        for (byte[] part : mParts) {
            System.arraycopy(part, 0, body, at, part.length);
            at += part.length;
        }
        mParts.clear();
        mResponse.complete(Result.of(new HttpResponse(mStatus, mHeaders, body)));
    }

    @Override
    public void onFailure(SendFailure failure, String reason) {
        mHold.close();
        mParts.clear();
        mResponse.complete(Result.fail(mKindOfFailure.apply(failure), reason));
    }
}
