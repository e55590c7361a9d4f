package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reads the fields of a JSON object that another writer may have spoiled. A field of another type,
 * or a number that does not fit, is read as the default value and makes the whole object unusable:
 * {@link #result} then fails with the first of them.
 */
final class JsonFields {
    private final JsonNode mNode;
    private final String mName;
    private final JsonFields mRoot;
    private Optional<Failure> mFailure = Optional.empty();

    private JsonFields(JsonNode node, String name, Optional<JsonFields> root) {
        mNode = node;
        mName = name;
        mRoot = root.orElse(this);
    }

    /**
     * Returns the fields of an object.
     *
     * @param name name of the object in failures
     * @param node the object
     */
    static JsonFields of(String name, JsonNode node) {
        JsonFields fields = new JsonFields(node, name, Optional.empty());
        if (!node.isObject()) {
            fields.fail(name, "expected an object, found " + type(node));
        }
        return fields;
    }

    // Operations

    /** Returns the fields of a nested object, whose failures count for the whole object. */
    JsonFields at(String field, JsonNode node) {
        JsonFields nested = new JsonFields(node, path(field), Optional.of(mRoot));
        if (!node.isMissingNode() && !node.isObject()) {
            mRoot.fail(path(field), "expected an object, found " + type(node));
        }
        return nested;
    }

    /** Returns a text that must be present and not empty. */
    String text(String field) {
        JsonNode value = mNode.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            mRoot.fail(path(field), "expected a text, found " + type(value));
        }
        return value.asText();
    }

    /** Returns a whole number that must be present. */
    long whole(String field, long min, long max) {
        JsonNode value = mNode.path(field);
        if (!value.isIntegralNumber()) {
            mRoot.fail(path(field), "expected a whole number, found " + type(value));
            return min;
        }
        return inRange(field, value, min, max);
    }

    /** Returns a whole number, or the default if there is none. */
    long whole(String field, long defaultValue, long min, long max) {
        return isAbsent(field) ? defaultValue : whole(field, min, max);
    }

    /** Returns a number without its fraction, or the default if there is none. */
    long number(String field, long defaultValue, long min, long max) {
        JsonNode value = mNode.path(field);
        if (isAbsent(field)) {
            return defaultValue;
        }
        if (!value.isNumber()) {
            mRoot.fail(path(field), "expected a number, found " + type(value));
            return defaultValue;
        }
        return inRange(field, value, min, max);
    }

    /** Returns a number of at least zero, or the default if there is none. */
    double fraction(String field, double defaultValue) {
        JsonNode value = mNode.path(field);
        if (isAbsent(field)) {
            return defaultValue;
        }
        if (!value.isNumber() || !value.canConvertToLong() || value.asDouble() < 0) {
            mRoot.fail(path(field), "expected a number of at least 0, found " + type(value));
            return defaultValue;
        }
        return value.asDouble();
    }

    /** Returns an array, which is empty if there is none. */
    JsonNode array(String field) {
        JsonNode value = mNode.path(field);
        if (!isAbsent(field) && !value.isArray()) {
            mRoot.fail(path(field), "expected an array, found " + type(value));
        }
        return value;
    }

    private long inRange(String field, JsonNode value, long min, long max) {
        if (!value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
            mRoot.fail(path(field), "expected a number from " + min + " to " + max);
            return min;
        }
        return value.asLong();
    }

    private boolean isAbsent(String field) {
        JsonNode value = mNode.path(field);
        return value.isMissingNode() || value.isNull();
    }

    private String path(String field) {
        return mName + "." + field;
    }

    private static String type(JsonNode node) {
        return node.getNodeType().name();
    }

    private void fail(String path, String reason) {
        if (mFailure.isEmpty()) {
            mFailure = Optional.of(Failure.of(ErrorKind.BAD_REQUEST, path + ": " + reason));
        }
    }

    // Accessors

    /** Returns the value that was made of the fields, or why they are not usable. */
    <T> Result<T> result(Supplier<T> value) {
        return mRoot.mFailure.isPresent()
                ? Result.fail(mRoot.mFailure.get())
                : Result.of(value.get());
    }
}
