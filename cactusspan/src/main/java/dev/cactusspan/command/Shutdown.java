package dev.cactusspan.command;

import org.apache.logging.log4j.LogManager;

/**
 * Stops a process gracefully when it receives SIGTERM. Logging is shut down after the process, so
 * that the log includes the shutdown.
 */
final class Shutdown {
    private static final long FLUSH_MS = 200;

    private Shutdown() {}

    /**
     * Registers a hook that, when the JVM shuts down, drains the process, waits for the last frames
     * and closes it.
     */
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
        } finally {
            LogManager.shutdown();
        }
    }
}
