package dev.cactusspan.command;

/** Stops a process gracefully when it receives SIGTERM. */
final class Shutdown {
    private static final long FLUSH_MS = 200;

    private Shutdown() {}

    /** Drains, lets the last frames leave, and closes, when the JVM is told to stop. */
    static void onSignal(Runnable drain, AutoCloseable process) {
        Thread thread = new Thread(() -> stop(drain, process), "shutdown");
        Runtime.getRuntime().addShutdownHook(thread);
    }

    private static void stop(Runnable drain, AutoCloseable process) {
        try (process) {
            drain.run();
            Thread.sleep(FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            System.err.println("shutdown: " + e.getMessage());
        }
    }
}
