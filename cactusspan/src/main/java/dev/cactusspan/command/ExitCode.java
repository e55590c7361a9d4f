package dev.cactusspan.command;

/** Exit codes of the command line. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Refused, in conflict, or the platform did not answer. */
    FAILED(1),
    /** The command line itself is wrong. */
    USAGE(2);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /**
     * Returns the code for the operating system.
     *
     * @return the code
     */
    public int code() {
        return mCode;
    }
}
