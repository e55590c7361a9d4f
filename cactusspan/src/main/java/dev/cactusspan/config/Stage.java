package dev.cactusspan.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** The stage of a document. */
public enum Stage {
    /** Edited by operators; in force for processes that are set to it. */
    @JsonProperty("trial")
    TRIAL,
    /** Changed only by promotion from trial. */
    @JsonProperty("production")
    PRODUCTION;

    /**
     * Returns the name used in keys and settings.
     *
     * @return the name in lower case
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
