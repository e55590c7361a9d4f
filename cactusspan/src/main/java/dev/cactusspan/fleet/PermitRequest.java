package dev.cactusspan.fleet;

import dev.cactusspan.id.TargetId;

/**
 * A process's request for permits to send to a target that limits its requests.
 *
 * @param target the target
 * @param limitPerS requests per second that the target accepts, as this process last saw it
 * @param wanted number of permits wanted
 */
public record PermitRequest(TargetId target, double limitPerS, int wanted) {}
