package dev.cactusspan.usage;

/**
 * What a client account used.
 *
 * @param requests answered requests
 * @param answerBytes bytes of whole answers
 */
public record AccountUsage(long requests, long answerBytes) {

    /** Nothing. */
    public static final AccountUsage NONE = new AccountUsage(0, 0);

    /**
     * Adds usage.
     *
     * @param other the other usage
     * @return the sum
     */
    public AccountUsage plus(AccountUsage other) {
        return new AccountUsage(requests + other.requests, answerBytes + other.answerBytes);
    }

    /**
     * Subtracts usage.
     *
     * @param other the other usage
     * @return the difference
     */
    public AccountUsage minus(AccountUsage other) {
        return new AccountUsage(requests - other.requests, answerBytes - other.answerBytes);
    }

    /**
     * Tells whether there is nothing.
     *
     * @return true if all figures are zero
     */
    public boolean isEmpty() {
        return requests == 0 && answerBytes == 0;
    }
}
