package dev.cactusspan.fleet;

/**
 * Load as reported by a target; the report is some hundred milliseconds old.
 *
 * @param running number of requests that are running
 * @param waiting number of requests that are queued
 * @param orders number of orders accepted since the target started; an order that expects this
 *     number is refused once another order has been accepted, however late it arrives
 * @param isBusy true if the target is executing an order
 */
public record TargetLoad(int running, int waiting, long orders, boolean isBusy) {

    /**
     * Returns whether the target has no requests.
     *
     * @return true if no request is running or queued
     */
    public boolean isIdle() {
        return running == 0 && waiting == 0;
    }
}
