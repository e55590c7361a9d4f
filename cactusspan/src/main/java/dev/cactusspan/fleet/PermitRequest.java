package dev.cactusspan.fleet;

import dev.cactusspan.id.TargetId;

/**
 * A process's request for permits to send to a target that limits its requests.
 *
 * @param target the target
 * @param limitPerS requests per second that the target accepts, as this process last saw it
 * @param wanted number of permits wanted
 * @param isCold true if the target is cold, so that no unused permits may add up
 */
public record PermitRequest(TargetId target, double limitPerS, int wanted, boolean isCold) {
    /** Creates a request for permits of a target that is not cold. */
    public PermitRequest(TargetId target, double limitPerS, int wanted) {
        this(target, limitPerS, wanted, false);
    }
}
