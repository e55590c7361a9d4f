package dev.cactusspan.fleet;

/**
 * The response to a request for permits.
 *
 * @param permits number of permits granted, zero if there was none in time
 * @param nextPermitMs expected time until another permit is granted, in milliseconds
 */
public record PermitGrant(int permits, long nextPermitMs) {
    /** No permits, and no estimate. */
    public static final PermitGrant NONE = new PermitGrant(0, 0);
}
