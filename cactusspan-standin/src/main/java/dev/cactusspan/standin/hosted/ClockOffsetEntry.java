package dev.cactusspan.standin.hosted;

import dev.cactusspan.command.EntryCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Runs an entry process whose wall clock is set ahead, or behind if negative, by the number of
 * milliseconds in a file, which another process writes.
 */
final class ClockOffsetEntry {
    private static final long POLL_MS = 50;

    private final Path mFile;
    private volatile long mOffsetMs;

    private ClockOffsetEntry(Path file) {
        mFile = file;
    }

    /**
     * Runs the entry.
     *
     * @param args path of the file
     * @throws IOException if the entry cannot start
     */
    public static void main(String[] args) throws IOException {
        ClockOffsetEntry entry = new ClockOffsetEntry(Path.of(args[0]));
        Thread reader = new Thread(entry::pollOffset, "clock-shift");
        reader.setDaemon(true);
        reader.start();
        new EntryCommand(() -> System.currentTimeMillis() + entry.mOffsetMs)
                .run(System.out, System.err);
    }

    private void pollOffset() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                if (Files.exists(mFile)) {
                    mOffsetMs = Long.parseLong(Files.readString(mFile).strip());
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            } catch (IOException | NumberFormatException e) {
                // The file is being written; read it again immediately.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
