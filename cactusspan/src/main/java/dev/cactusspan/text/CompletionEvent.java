package dev.cactusspan.text;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A part of a completion that an engine streams.
 *
 * @param text the text
 * @param tokens number of tokens
 * @param weightVersion weight version that the engine reports, zero if none
 */
public record CompletionEvent(String text, int tokens, long weightVersion) {

    /**
     * Reads a part from its event. Engines that report no token count send one token per event.
     *
     * @param event data of the event
     * @return the part
     */
    public static CompletionEvent of(JsonNode event) {
        JsonNode choice = event.path("choices").path(0);
        String text = choice.path("text").asText(choice.path("delta").path("content").asText(""));
        int tokens = Math.max(0, event.path("tokens").asInt(text.isEmpty() ? 0 : 1));
        return new CompletionEvent(
                text, tokens, Math.max(0, event.path("weight_version").asLong(0)));
    }
}
