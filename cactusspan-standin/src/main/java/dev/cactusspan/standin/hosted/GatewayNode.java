package dev.cactusspan.standin.hosted;

import dev.cactusspan.text.JsonText;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A real process of the product on loopback, which is stopped and killed by its id. */
public final class GatewayNode implements AutoCloseable {
    private static final long STOP_S = 10;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 20_000;

    /** Processes of the emulator begin at different ports. */
    private static final AtomicInteger sNextPort =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORTS));

    private final Path mFolder;
    private final String mName;
    private final int mClientPort;
    private final int mReadyPort;
    private Process mProcess;

    private GatewayNode(Path folder, String name, int clientPort, int readyPort) {
        mFolder = folder;
        mName = name;
        mClientPort = clientPort;
        mReadyPort = readyPort;
    }

    /**
     * Starts a process.
     *
     * @param folder where settings and logs are written
     * @param name name of its VM
     * @param storePort port of the store, or of a proxy to it
     * @param usagePort port of the interface for usage reports
     * @param windowS length of a usage window
     * @return the running process
     * @throws IOException if it cannot be started
     */
    public static GatewayNode start(
            Path folder, String name, int storePort, int usagePort, int windowS)
            throws IOException {
        GatewayNode node = new GatewayNode(folder, name, freePort(), freePort());
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("vm", name);
        settings.put("zone", "zone-a");
        settings.put("zones", Map.of("zone-a", "region-a"));
        settings.put("ip", "127.0.0.1");
        settings.put("client_address", "127.0.0.1:" + node.mClientPort);
        settings.put("ready_address", "127.0.0.1:" + node.mReadyPort);
        settings.put("link_port", freePort());
        settings.put("metrics_port", freePort());
        settings.put("store_address", "127.0.0.1:" + storePort);
        settings.put("usage_address", "127.0.0.1:" + usagePort);
        settings.put("usage_window_s", windowS);
        settings.put("turn_ms", 3_000);
        settings.put("is_fencing_checked", true);
        settings.put("stop_s", 6);
        Files.write(folder.resolve(name + ".json"), JsonText.write(settings));
        node.launch();
        return node;
    }

    /**
     * Finds a free port below those that the system gives to outgoing connections, so that none of
     * them takes it before the process does.
     */
    private static int freePort() throws IOException {
        IOException last = new BindException("no free port");
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + Math.floorMod(sNextPort.getAndAdd(1), PORTS);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it; the next one is tried.
                last = e;
            }
        }
        throw last;
    }

    /**
     * Starts the process again after it has ended.
     *
     * @throws IOException if it cannot be started
     */
    public void launch() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(ClockOffsetEntry.class.getName(), clockFile().toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("CACTUSSPAN_CONFIG", mFolder.resolve(mName + ".json").toString());
        File log = mFolder.resolve(mName + ".log").toFile();
        mProcess =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
    }

    private Path clockFile() {
        return mFolder.resolve(mName + ".clock");
    }

    // Operations

    /**
     * Moves the process's time of day.
     *
     * @param shiftMs by how much it is ahead, in milliseconds
     */
    public void setClockOffset(long shiftMs) {
        try {
            Files.writeString(clockFile(), Long.toString(shiftMs));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends a signal.
     *
     * @param name name of the signal, such as KILL
     */
    public void signal(String name) {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start();
            kill.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until the process has ended.
     *
     * @param boundMs how long to wait at most
     * @return true if it has ended
     */
    public boolean awaitExit(long boundMs) {
        try {
            return mProcess.waitFor(boundMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    // Accessors

    /**
     * Returns the port towards clients.
     *
     * @return the port
     */
    public int clientPort() {
        return mClientPort;
    }

    /**
     * Returns the port where readiness is asked.
     *
     * @return the port
     */
    public int readyPort() {
        return mReadyPort;
    }

    /**
     * Returns the name.
     *
     * @return name of its VM
     */
    public String name() {
        return mName;
    }

    @Override
    public void close() {
        signal("CONT");
        mProcess.destroy();
        if (!awaitExit(TimeUnit.SECONDS.toMillis(STOP_S))) {
            mProcess.destroyForcibly();
        }
    }
}
