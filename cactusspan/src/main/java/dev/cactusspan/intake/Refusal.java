package dev.cactusspan.intake;

import java.util.Locale;

/** Why a caller was refused or its connection closed. */
public enum Refusal {
    /** The memory for callers is in use. */
    MEMORY,
    /** Too many connections are open. */
    CONNECTIONS,
    /** The caller sends or reads too slowly. */
    PACE,
    /** The body is over the limit. */
    SIZE,
    /** More bytes than a header may have come between chunks of a body, or as its trailers. */
    FRAMING,
    /** The first bytes of a link are not those of a process of the system. */
    HELLO;

    /**
     * Returns the name used in logs and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
