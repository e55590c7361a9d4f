package dev.cactusspan.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** The stage of a document. */
public enum Stage {
    /** Edited by operators and used by processes whose settings name this stage. */
    @JsonProperty("trial")
    TRIAL,
    /** Changed only by promotion of the trial document. */
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
