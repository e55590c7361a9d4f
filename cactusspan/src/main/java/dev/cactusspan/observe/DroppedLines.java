package dev.cactusspan.observe;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.CountingNoOpAppender;

/** Counts log lines that were dropped because the ring buffer of the log writer was full. */
final class DroppedLines {
    private static final String APPENDER = "dropped";

    private DroppedLines() {}

    static long count() {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        Appender appender = context.getConfiguration().getAppender(APPENDER);
        return appender instanceof CountingNoOpAppender counting ? counting.getCount() : 0;
    }
}
