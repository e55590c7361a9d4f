import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStartNs = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... arguments) {
        double seconds = (System.nanoTime() - mStartNs) / 1e9;
        String text = String.format(Locale.ROOT, format, arguments);
        mOut.printf(Locale.ROOT, "%9.4f %s%n", seconds, text);
    }

    /** Writes a line to the record and to standard output. */
    synchronized void report(String format, Object... arguments) {
        add(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
