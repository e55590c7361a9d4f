package dev.cactusspan.fleet;

/**
 * What a target reports of its work; some hundred milliseconds old.
 *
 * @param running requests that it runs
 * @param waiting requests that wait at it
 */
public record TargetLoad(int running, int waiting) {

    /**
     * Tells whether nothing is at the target.
     *
     * @return true if it neither runs nor holds a request
     */
    public boolean isIdle() {
        return running == 0 && waiting == 0;
    }
}
