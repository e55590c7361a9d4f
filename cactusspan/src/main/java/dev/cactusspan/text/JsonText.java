package dev.cactusspan.text;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** JSON with comments: reading, writing and the shared mapper. */
public final class JsonText {
    private static final int MAX_DEPTH = 64;
    private static final JsonMapper MAPPER = newMapper();

    private JsonText() {}

    private static JsonMapper newMapper() {
        JsonMapper mapper =
                JsonMapper.builder()
                        .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                        .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                        .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                        .addModule(new Jdk8Module())
                        .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                        .build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
        return mapper;
    }

    /**
     * Returns the shared mapper, which names fields in snake case.
     *
     * @return the mapper
     */
    public static JsonMapper mapper() {
        return MAPPER;
    }

    /**
     * Parses a text.
     *
     * @param origin name of the text for messages, such as a file name
     * @param text JSON with comments
     * @return the tree, or {@code bad_request} with line and column
     */
    public static Result<JsonNode> parse(String origin, String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || node.isMissingNode()) {
                return Result.fail(
                        ErrorKind.BAD_REQUEST, origin + ": expected JSON, found nothing");
            }
            return Result.of(node);
        } catch (JsonProcessingException e) {
            String position = "";
            if (e.getLocation() != null) {
                position = ":" + e.getLocation().getLineNr() + ":" + e.getLocation().getColumnNr();
            }
            String message = e.getOriginalMessage().replace('\n', ' ');
            return Result.fail(ErrorKind.BAD_REQUEST, origin + position + ": " + message);
        }
    }

    /**
     * Reads bytes into a type.
     *
     * @param bytes JSON in UTF-8
     * @param type the type
     * @param <T> the type
     * @return the value, or {@code bad_request}
     */
    public static <T> Result<T> read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                return Result.fail(ErrorKind.BAD_REQUEST, "expected JSON, found null");
            }
            return Result.of(value);
        } catch (JsonProcessingException e) {
            return Result.fail(ErrorKind.BAD_REQUEST, e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return JSON in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a value as one line of JSON.
     *
     * @param value the value
     * @return the JSON text
     */
    public static String writeString(Object value) {
        return new String(write(value), StandardCharsets.UTF_8);
    }

    /**
     * Reads a resource of the product.
     *
     * @param path absolute resource path
     * @param type the type
     * @param <T> the type
     * @return the value
     * @throws IllegalStateException if the resource is absent
     */
    public static <T> T readResource(String path, TypeReference<T> type) {
        try (InputStream in = JsonText.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new IllegalStateException("no resource " + path);
            }
            return MAPPER.readValue(in, type);
        } catch (IOException e) {
            throw new UncheckedIOException(path, e);
        }
    }
}
