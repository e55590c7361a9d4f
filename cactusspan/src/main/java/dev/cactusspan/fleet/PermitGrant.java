package dev.cactusspan.fleet;

/**
 * The response to a request for permits.
 *
 * @param permits number of permits granted, zero if there was none in time
 * @param nextPermitMs expected time until another permit is granted, in milliseconds
 * @param waitedMs time that the request waited at the issuer, in milliseconds
 */
public record PermitGrant(int permits, long nextPermitMs, long waitedMs) {
    /** No permits, and no estimate. */
    public static final PermitGrant NONE = new PermitGrant(0, 0);

    /** Creates a grant to a request that did not wait. */
    public PermitGrant(int permits, long nextPermitMs) {
        this(permits, nextPermitMs, 0);
    }
}
