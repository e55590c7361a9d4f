package dev.cactusspan.result;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** Execution status of a failed request at its target. */
public enum ExecutionStatus {
    /** It is proved that the request has not run. */
    @JsonProperty("no")
    NO,
    /** The request may have run. */
    @JsonProperty("maybe")
    MAYBE,
    /** The request has run. */
    @JsonProperty("yes")
    YES;

    /**
     * Returns the value used in responses.
     *
     * @return {@code no}, {@code maybe} or {@code yes}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
