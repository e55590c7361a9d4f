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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Runs a real process of the product on loopback; signals are sent to it by its process id. */
public final class GatewayNode implements AutoCloseable {
    private static final long STOP_TIMEOUT_S = 10;
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;

    /** Local port and bytes to be sent in a line of the system's list of sockets. */
    private static final Pattern SOCKET =
            Pattern.compile("^ *\\d+: \\w+:(\\w+) \\w+:\\w+ \\w+ (\\w+):");

    /** The next port to try. Processes of the emulator start at different ports. */
    private static final AtomicInteger sNextPort =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

    private final Path mFolder;
    private final String mName;
    private final int mClientPort;
    private final int mReadyPort;
    private final int mLinkPort;
    private final int mMetricsPort;
    private final NodeCommand mCommand;
    private Process mProcess;

    private GatewayNode(
            Path folder,
            String name,
            NodeCommand command,
            int clientPort,
            int readyPort,
            int linkPort,
            int metricsPort) {
        mCommand = command;
        mLinkPort = linkPort;
        mMetricsPort = metricsPort;
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
     * @param command how it is launched
     * @param storePort port of the store, or of a proxy to it
     * @param usagePort port of the usage interface
     * @param windowS length of a usage window, in seconds
     * @return the running process
     * @throws IOException if it cannot be started
     */
    public static GatewayNode start(
            Path folder,
            String name,
            NodeCommand command,
            int storePort,
            int usagePort,
            int windowS)
            throws IOException {
        GatewayNode node =
                new GatewayNode(
                        folder, name, command, freePort(), freePort(), freePort(), freePort());
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("vm", name);
        settings.put("zone", "zone-a");
        settings.put("zones", Map.of("zone-a", "region-a", "zone-b", "region-b"));
        settings.put("evacuate_ms", 5_000);
        settings.put("cold_overage", ColdTargetCheck.OVERAGE);
        settings.put("ip", "127.0.0.1");
        settings.put("client_address", "127.0.0.1:" + node.mClientPort);
        settings.put("ready_address", "127.0.0.1:" + node.mReadyPort);
        settings.put("link_port", node.mLinkPort);
        settings.put("metrics_port", node.mMetricsPort);
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
     * Finds a free port below the range that the system uses for outgoing connections, so that none
     * of them takes it before the process binds it.
     */
    private static int freePort() throws IOException {
        IOException last = new BindException("no free port");
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(sNextPort.getAndAdd(1), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process uses this port; try the next one.
                last = e;
            }
        }
        throw last;
    }

    /**
     * Launches the process, initially or again after it has exited.
     *
     * @throws IOException if it cannot be started
     */
    public void launch() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(mCommand.words(clockOffsetFile()));
        builder.directory(NodeCommand.root().toFile());
        builder.environment().put("CACTUSSPAN_CONFIG", mFolder.resolve(mName + ".json").toString());
        File log = mFolder.resolve(mName + ".log").toFile();
        mProcess =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
    }

    private Path clockOffsetFile() {
        return mFolder.resolve(mName + ".clock");
    }

    // Operations

    /**
     * Sets the offset of the process's wall clock.
     *
     * @param offsetMs how far the clock is ahead of the system's, in milliseconds
     */
    public void setClockOffset(long offsetMs) {
        try {
            Files.writeString(clockOffsetFile(), Long.toString(offsetMs));
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
     * Waits for the process to exit.
     *
     * @param timeoutMs longest time to wait, in milliseconds
     * @return true if it has exited
     */
    public boolean awaitExit(long timeoutMs) {
        try {
            return mProcess.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    // Accessors

    /**
     * Returns the largest resident memory of the process so far.
     *
     * @return KB, zero if the process has ended
     */
    public long peakMemoryKb() {
        Path status = Path.of("/proc", Long.toString(mProcess.pid()), "status");
        try {
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            // The process has ended.
            return 0;
        }
    }

    /**
     * Returns the number of descriptors that the process has open.
     *
     * @return how many, zero if the process has ended
     */
    public int openDescriptors() {
        Path folder = Path.of("/proc", Long.toString(mProcess.pid()), "fd");
        try (Stream<Path> descriptors = Files.list(folder)) {
            return (int) descriptors.count();
        } catch (IOException | UncheckedIOException e) {
            // The process has ended.
            return 0;
        }
    }

    /**
     * Returns the bytes that wait in the system's buffers to be sent to a client.
     *
     * @return the most of one connection
     * @throws IOException if the system does not list its connections
     */
    public long unsentBytes() throws IOException {
        long bytes = 0;
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(Path.of("/proc/net", table))) {
                Matcher socket = SOCKET.matcher(line);
                if (socket.find() && Integer.parseInt(socket.group(1), 16) == mClientPort) {
                    bytes = Math.max(bytes, Long.parseLong(socket.group(2), 16));
                }
            }
        }
        return bytes;
    }

    /**
     * Returns the port that serves clients.
     *
     * @return the port
     */
    public int clientPort() {
        return mClientPort;
    }

    /**
     * Returns the port of the readiness endpoint.
     *
     * @return the port
     */
    public int readyPort() {
        return mReadyPort;
    }

    /**
     * Returns the port for links from other processes.
     *
     * @return the port
     */
    public int linkPort() {
        return mLinkPort;
    }

    /**
     * Returns the port of the metrics.
     *
     * @return the port
     */
    public int metricsPort() {
        return mMetricsPort;
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
        if (!awaitExit(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_S))) {
            mProcess.destroyForcibly();
        }
    }
}
