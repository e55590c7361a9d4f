package dev.cactusspan.observe;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import dev.cactusspan.text.JsonText;
import java.util.LinkedHashMap;
import java.util.Map;

/** A log line of a decision: its name, the inputs that decided it, and the outcome, as JSON. */
public final class Decision {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private final Map<String, Object> mFields = new LinkedHashMap<>();

    private Decision(String name) {
        mFields.put("event", name);
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
        mFields.put(name, value);
        return this;
    }

    /** Writes the line at the usual level. */
    public void info() {
        sLog.atInfo().log("%s", LazyArgs.lazy(this::line));
    }

    /** Writes the line as a warning. */
    public void warn() {
        sLog.atWarning().log("%s", LazyArgs.lazy(this::line));
    }

    private String line() {
        return JsonText.line(mFields);
    }
}
