package dev.cactusspan.standin;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a process of the product that a test starts, suspends and ends by its process id. */
final class JvmProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_S = 10;

    private final Process mProcess;

    private JvmProcess(Process process) {
        mProcess = process;
    }

    static JvmProcess start(Path log, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("dev.cactusspan.command.Main");
        command.addAll(List.of(arguments));
        File file = log.toFile();
        return new JvmProcess(
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(file))
                        .start());
    }

    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws InterruptedException {
        signal("CONT");
        mProcess.destroy();
        if (!mProcess.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
            mProcess.destroyForcibly();
        }
    }
}
