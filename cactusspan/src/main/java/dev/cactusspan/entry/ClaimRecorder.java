package dev.cactusspan.entry;

import dev.cactusspan.claim.ClaimKey;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.claim.StoredResponse;
import java.io.ByteArrayOutputStream;

/** Buffers the response to a claimed request and stores it with the claim when it is complete. */
final class ClaimRecorder {
    private static final int MAX_BYTES = 1 << 20;

    private final ClaimService mClaims;
    private final ClaimKey mKey;
    private final String mToken;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private String mContentType = "";
    private boolean mIsOverLimit;

    ClaimRecorder(ClaimService claims, ClaimKey key, String token) {
        mClaims = claims;
        mKey = key;
        mToken = token;
    }

    void head(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
    }

    void data(byte[] data) {
        mIsOverLimit |= mBody.size() + data.length > MAX_BYTES;
        if (!mIsOverLimit) {
            mBody.writeBytes(data);
        }
    }

    /**
     * Stores the buffered response. A response over the size limit is not stored, so a retry gets
     * "outcome unknown".
     */
    void store() {
        if (!mIsOverLimit) {
            store(new StoredResponse(mStatus, mContentType, mBody.toByteArray(), false));
        }
    }

    /** Stores the given response. */
    void store(StoredResponse response) {
        mClaims.complete(mKey, mToken, response);
    }

    /** Releases the claim, because the request is proved not to have run. */
    void release() {
        mClaims.release(mKey, mToken);
    }
}
