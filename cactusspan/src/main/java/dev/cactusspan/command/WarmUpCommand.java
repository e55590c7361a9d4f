package dev.cactusspan.command;

import dev.cactusspan.gateway.GatewayProcess;
import dev.cactusspan.gateway.StorageProcess;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.settings.SettingsReader;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.time.WallClock;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Starts an entry and a storage process on loopback without a platform, sends a few requests, and
 * exits. The build archives the classes that this loads, which halves the work of each start.
 */
public final class WarmUpCommand implements Command {
    private static final String LOOPBACK = "127.0.0.1";

    /** Number of ports: those that the two processes bind, and two of an absent platform. */
    private static final int PORTS = 7;

    /** How long the processes run, in milliseconds. Only the build waits for it. */
    private static final long RUN_MS = 1_500;

    private static final long REQUEST_TIMEOUT_MS = 1_000;

    /** The metrics of an idle process take some tens of kilobytes. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        List<Integer> ports = freePorts();
        GatewaySettings settings = settings(ports, ports.get(2));
        try (GatewayProcess entry =
                        new GatewayProcess(settings, Telemetry.create(), WallClock.ofSystem());
                StorageProcess storage =
                        new StorageProcess(settings(ports, ports.get(6)), Telemetry.create());
                HttpClient client = HttpClient.create()) {
            entry.start();
            storage.start();
            sendRequest(client, settings.readyAddress(), "/");
            sendRequest(client, settings.clientAddress(), "/nothing");
            sendRequest(client, LOOPBACK + ":" + settings.metricsPort(), "/metrics");
            TimeUnit.MILLISECONDS.sleep(RUN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
        return ExitCode.OK;
    }

    /** Writes and reads settings as a start does, so that the classes for it are archived. */
    private static GatewaySettings settings(List<Integer> ports, int metricsPort)
            throws IOException {
        Path file = Files.createTempFile("warm-up", ".json");
        try {
            Files.write(file, JsonText.write(newSettings(ports, metricsPort)));
            return SettingsReader.gateway(file).get();
        } finally {
            Files.delete(file);
        }
    }

    private static GatewaySettings newSettings(List<Integer> ports, int metricsPort) {
        return new GatewaySettings(
                VmId.of("warm-up"),
                AvailabilityZoneId.of("zone"),
                Map.of(),
                LOOPBACK,
                LOOPBACK + ":" + ports.get(0),
                LOOPBACK + ":" + ports.get(1),
                ports.get(3),
                metricsPort,
                LOOPBACK + ":" + ports.get(4),
                LOOPBACK + ":" + ports.get(5),
                1,
                1,
                true,
                0,
                0,
                1,
                1,
                0,
                0,
                true,
                1,
                0,
                0);
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < PORTS; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Sends a request and waits for the response. Any response loads the classes needed. */
    private static void sendRequest(HttpClient client, String address, String path) {
        client.collect(
                        HttpRequest.get(URI.create("http://" + address), path, REQUEST_TIMEOUT_MS),
                        MAX_RESPONSE_BYTES)
                .join();
    }
}
