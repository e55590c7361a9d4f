package dev.cactusspan.standin.hosted;

import dev.cactusspan.command.EntryCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * An entry of the product whose time of day another process moves: a file holds by how much, in
 * milliseconds.
 */
final class ClockOffsetEntry {
    private static final long POLL_MS = 50;

    private final Path mFile;
    private volatile long mShiftMs;

    private ClockOffsetEntry(Path file) {
        mFile = file;
    }

    /**
     * Runs the entry.
     *
     * @param args the file
     * @throws IOException if the entry cannot start
     */
    public static void main(String[] args) throws IOException {
        ClockOffsetEntry clock = new ClockOffsetEntry(Path.of(args[0]));
        Thread reader = new Thread(clock::follow, "clock-shift");
        reader.setDaemon(true);
        reader.start();
        new EntryCommand(() -> System.currentTimeMillis() + clock.mShiftMs)
                .run(System.out, System.err);
    }

    private void follow() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                if (Files.exists(mFile)) {
                    mShiftMs = Long.parseLong(Files.readString(mFile).strip());
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            } catch (IOException | NumberFormatException e) {
                // The file is being written; it is read again at once.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
