package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStartNs = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long elapsedMs() {
        return (System.nanoTime() - mStartNs) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        mOut.printf(Locale.ROOT, "%8.3f  ", (System.nanoTime() - mStartNs) / 1e9);
        mOut.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
