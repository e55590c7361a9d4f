package dev.cactusspan.usage;

/**
 * The usage of a client account.
 *
 * @param requests number of requests with a response
 * @param answerBytes bytes of complete responses
 */
public record AccountUsage(long requests, long answerBytes) {

    /** No usage. */
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
     * Tells whether there is no usage.
     *
     * @return true if all figures are zero
     */
    public boolean isEmpty() {
        return requests == 0 && answerBytes == 0;
    }
}
