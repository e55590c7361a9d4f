package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import java.util.Map;
import java.util.Optional;

/**
 * An item of a batch.
 *
 * @param id its id
 * @param path path of its request
 * @param headers headers of its request
 * @param body body of its request
 * @param expectedTokens how many tokens its text is expected to have, zero if unknown
 * @param group the group whose items share a prompt
 * @param scorer the request that scores its text
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
