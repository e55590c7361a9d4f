package dev.cactusspan.fleet;

/**
 * What a target reports of its work; some hundred milliseconds old.
 *
 * @param running requests that it runs
 * @param waiting requests that wait at it
 * @param orders orders that it has accepted since its start; an order that expects this number is
 *     refused once another one was accepted, however late it comes
 * @param isBusy true if it carries out an order
 */
public record TargetLoad(int running, int waiting, long orders, boolean isBusy) {

    /**
     * Tells whether nothing is at the target.
     *
     * @return true if it neither runs nor holds a request
     */
    public boolean isIdle() {
        return running == 0 && waiting == 0;
    }
}
