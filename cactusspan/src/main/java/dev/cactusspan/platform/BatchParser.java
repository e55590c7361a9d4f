package dev.cactusspan.platform;

import com.fasterxml.jackson.core.Base64Variant;
import com.fasterxml.jackson.core.Base64Variants;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import dev.cactusspan.batch.BatchItem;
import dev.cactusspan.batch.BatchWeight;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.http.RequestTarget;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Parses a submitted batch as a stream. Load pattern: batches of the largest size, or of very many
 * short fields, of which a tree takes many times the bytes. The body is let go of as it is parsed,
 * bodies of items are decoded without a text, and what the items take beyond the parsed bytes is
 * held before more is read.
 */
final class BatchParser {
    private static final Base64Variant BASE64 =
            Base64Variants.MIME_NO_LINEFEEDS.withPaddingAllowed();

    private final Body mBody;
    private final JsonParser mParser;
    private final long mBodyHeldBytes;
    private final List<BatchItem> mItems = new ArrayList<>();
    private final Set<ItemId> mIds = new HashSet<>();
    private long mItemBytes;
    private long mStep;
    private String mModel = "";
    private long mMinVersion;
    private int mWantedGroups;

    /**
     * Content of a batch.
     *
     * @param step the trainer's step
     * @param model name of the model
     * @param minVersion the oldest weight version that may generate its texts
     * @param wantedGroups how many complete groups the trainer waits for
     * @param items its items
     */
    record Parsed(
            long step, String model, long minVersion, int wantedGroups, List<BatchItem> items) {}

    /** A reason to refuse the batch. */
    private static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Failure mFailure;

        RefusedException(ErrorKind kind, String detail) {
            super(detail);
            mFailure = Failure.of(kind, detail);
        }
    }

    private BatchParser(Body body, JsonParser parser) {
        mBody = body;
        mParser = parser;
        mBodyHeldBytes = body.hold().bytes();
    }

    /**
     * Parses a batch. The body is empty afterwards.
     *
     * @param body JSON in UTF-8
     * @return the batch; {@code bad_request} with the reason, or {@code overloaded} if its items
     *     take more memory than there is
     */
    static Result<Parsed> parse(Body body) {
        long length = body.length();
        try (JsonParser parser = JsonText.mapper().getFactory().createParser(body.drain())) {
            BatchParser batch = new BatchParser(body, parser);
            batch.readBatch();
            batch.hold(length);
            return Result.of(
                    new Parsed(
                            batch.mStep,
                            batch.mModel,
                            batch.mMinVersion,
                            batch.mWantedGroups,
                            batch.mItems));
        } catch (RefusedException e) {
            return Result.fail(e.mFailure);
        } catch (JsonProcessingException e) {
            return Result.fail(ErrorKind.BAD_REQUEST, e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            return Result.fail(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private void readBatch() throws IOException {
        if (mParser.nextToken() != JsonToken.START_OBJECT) {
            throw malformed("expected an object");
        }
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String name = mParser.currentName();
            mParser.nextToken();
            switch (name) {
                case "step" -> mStep = mParser.getValueAsLong(0);
                case "model" -> mModel = text();
                case "min_version" -> mMinVersion = mParser.getValueAsLong(0);
                case "target_groups" -> mWantedGroups = mParser.getValueAsInt(0);
                case "items" -> readItems();
                default -> mParser.skipChildren();
            }
        }
        if (mItems.isEmpty()) {
            throw malformed("items: expected a list with an item");
        }
        if (mParser.nextToken() != null) {
            throw malformed("found more after the end of the batch");
        }
    }

    private void readItems() throws IOException {
        if (mParser.currentToken() != JsonToken.START_ARRAY) {
            throw malformed("items: expected a list with an item");
        }
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            BatchItem item = readItem("items[" + mItems.size() + "]");
            if (!mIds.add(item.id())) {
                throw malformed("items[" + mItems.size() + "].id: comes twice");
            }
            mItems.add(item);
            mItemBytes += BatchWeight.of(item);
            hold(mParser.currentLocation().getByteOffset());
        }
    }

    /** Holds what the items take and what is left of the body. */
    private void hold(long parsedBytes) throws IOException {
        long leftBytes = mBody.length() - Math.min(mBody.length(), parsedBytes);
        long wantedBytes = mBodyHeldBytes - mBody.length() + leftBytes + mItemBytes;
        boolean isEnough = wantedBytes <= mBody.hold().bytes() && leftBytes > 0;
        if (!isEnough && !mBody.hold().resize(wantedBytes)) {
            throw new RefusedException(ErrorKind.OVERLOADED, "no memory for the items");
        }
    }

    private BatchItem readItem(String at) throws IOException {
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            throw malformed(at + ": expected an object");
        }
        Optional<String> id = Optional.empty();
        Optional<String> path = Optional.empty();
        Optional<String> group = Optional.empty();
        Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        Optional<BatchItem.Scorer> scorer = Optional.empty();
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String name = mParser.currentName();
            mParser.nextToken();
            switch (name) {
                case "id" -> id = textIfString();
                case "path" -> path = textIfString();
                case "group" -> group = Optional.of(text());
                case "headers" -> headers = readHeaders();
                case "body" -> body = binary(at);
                case "scorer" -> scorer = readScorer(at);
                default -> mParser.skipChildren();
            }
        }
        if (id.isEmpty() || path.isEmpty()) {
            throw malformed(at + ": no id or no path");
        }
        Result<RequestTarget> checked = checkedPath(at, id.get(), path.get(), headers, scorer);
        if (!checked.isOk()) {
            throw malformed(checked.fold(Failure::detail, p -> ""));
        }
        return new BatchItem(
                ItemId.of(id.get()),
                checked.get().value(),
                PlatformHeaders.forwarded(headers),
                body,
                expectedTokens(headers),
                group.orElse(id.get()),
                scorer);
    }

    /** Checks all that an item and its scorer put into the heads of requests. */
    private static Result<RequestTarget> checkedPath(
            String at,
            String id,
            String path,
            Map<String, String> headers,
            Optional<BatchItem.Scorer> scorer) {
        Result<RequestTarget> target =
                HttpField.parse(at, "id", id)
                        .flatMap(checkedId -> HttpField.check(at + ".headers", headers))
                        .flatMap(checkedHeaders -> RequestTarget.parse(at + ".path", path));
        if (scorer.isEmpty()) {
            return target;
        }
        String scorerAt = at + ".scorer";
        return HttpField.parse(scorerAt, "id", scorer.get().id())
                .flatMap(scorerId -> HttpField.host(scorerAt + ".host", scorer.get().host()))
                .flatMap(host -> RequestTarget.parse(scorerAt + ".path", scorer.get().path()))
                .flatMap(scorerPath -> target);
    }

    private Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            mParser.skipChildren();
            return headers;
        }
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String name = mParser.currentName();
            mParser.nextToken();
            headers.put(name, text());
        }
        return headers;
    }

    private Optional<BatchItem.Scorer> readScorer(String at) throws IOException {
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            mParser.skipChildren();
            return Optional.empty();
        }
        Optional<String> id = Optional.empty();
        String host = "";
        String path = "";
        byte[] body = new byte[0];
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String name = mParser.currentName();
            mParser.nextToken();
            switch (name) {
                case "id" -> id = textIfString();
                case "host" -> host = text();
                case "path" -> path = text();
                case "body" -> body = binary(at);
                default -> mParser.skipChildren();
            }
        }
        return id.isEmpty()
                ? Optional.empty()
                : Optional.of(new BatchItem.Scorer(id.get(), host, path, body));
    }

    /** Returns a scalar as text; the text of a list or an object is empty. */
    private String text() throws IOException {
        String text = mParser.getValueAsString("");
        mParser.skipChildren();
        return text;
    }

    private Optional<String> textIfString() throws IOException {
        boolean isString = mParser.currentToken() == JsonToken.VALUE_STRING;
        String text = text();
        return isString ? Optional.of(text) : Optional.empty();
    }

    private byte[] binary(String at) throws IOException {
        if (mParser.currentToken() != JsonToken.VALUE_STRING) {
            throw malformed(at + ": a body is not base64");
        }
        try {
            return mParser.getBinaryValue(BASE64);
        } catch (JsonProcessingException e) {
            throw malformed(at + ": a body is not base64");
        }
    }

    private static RefusedException malformed(String detail) {
        return new RefusedException(ErrorKind.BAD_REQUEST, detail);
    }

    /** Returns the client's estimate if there is one, else the maximum number of output tokens. */
    private static long expectedTokens(Map<String, String> headers) {
        String bound = headers.getOrDefault(PlatformHeaders.TOKEN_USAGE, "");
        String estimate = headers.getOrDefault(PlatformHeaders.LENGTH_ESTIMATE, "");
        String digits = estimate.isEmpty() ? bound.substring(bound.indexOf(',') + 1) : estimate;
        return digits.matches("[0-9]{1,9}") ? Long.parseLong(digits) : 0;
    }
}
