package dev.cactusspan.observe;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;

/** A log line of a decision: its name, the inputs that decided it, and the outcome. */
public final class Decision {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final String mEvent;
    private final Map<String, Object> mFields = new LinkedHashMap<>();

    private Decision(String event) {
        mEvent = event;
    }

    /**
     * Begins a line.
     *
     * @param name what was decided
     * @return the line
     */
    public static Decision of(String name) {
        return new Decision(name);
    }

    /**
     * Adds a field.
     *
     * @param name its name, with its unit
     * @param value its value; never a key, a prompt or a body
     * @return this line
     */
    public Decision with(String name, Object value) {
        mFields.put(name, isScalar(value) ? value : String.valueOf(value));
        return this;
    }

    private static boolean isScalar(Object value) {
        return value instanceof Number || value instanceof Boolean || value instanceof String;
    }

    /** Writes the line at the usual level. */
    public void info() {
        sLog.atInfo().with(LogFields.DECISION, mFields).log("%s", mEvent);
    }

    /** Writes the line as a warning. */
    public void warn() {
        sLog.atWarning().with(LogFields.DECISION, mFields).log("%s", mEvent);
    }
}
