package dev.cactusspan.command;

/** Exit codes of the command line. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The request was refused or in conflict, or the platform did not respond. */
    FAILED(1),
    /** The command line is invalid. */
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
