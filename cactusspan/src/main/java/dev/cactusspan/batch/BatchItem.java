package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import java.util.Map;
import java.util.Optional;

/**
 * An item of a batch: a request whose response is a generated text.
 *
 * @param id its id
 * @param path path of its request
 * @param headers headers of its request
 * @param body body of its request
 * @param expectedTokens expected length of its text in tokens, zero if unknown
 * @param group the group that it belongs to; items of a group share a prompt
 * @param scorer the request that scores its text, empty if the text is not scored
 */
public record BatchItem(
        ItemId id,
        String path,
        Map<String, String> headers,
        byte[] body,
        long expectedTokens,
        String group,
        Optional<Scorer> scorer) {

    /**
     * The request that scores a text.
     *
     * @param id its id
     * @param host host of its route
     * @param path its path
     * @param body its body
     */
    public record Scorer(String id, String host, String path, byte[] body) {}
}
