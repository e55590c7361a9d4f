package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.membership.VmRecord;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Suspends a real process that holds duties until its lease has expired, and resumes it. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
final class SuspendedDutyHolderTest {

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** An entry that runs in a separate process. */
    private record Entry(JvmProcess process, String vm, URI admin) {}

    private static Entry entry(LoopbackDeployment deployment, Path folder, String vm)
            throws IOException {
        int adminPort = freePort();
        int linkPort = freePort();
        Path settings = folder.resolve(vm + ".json");
        Files.writeString(
                settings,
                """
                {"environment": "kilimanjaro", "stage": "production", "vm": "%s",
                 "zone": "dar-a", "ip": "127.0.0.1", "http_port": 0, "admin_port": %d,
                 "link_port": %d, "platform_url": "%s", "drain_ms": 1000}
                """
                        .formatted(vm, adminPort, linkPort, deployment.platformUrl()));
        JvmProcess process =
                JvmProcess.start(
                        folder.resolve(vm + ".log"), "entry", "--settings", settings.toString());
        deployment
                .platform()
                .listVm(
                        new VmRecord(
                                VmId.of(vm),
                                LoopbackDeployment.ENVIRONMENT,
                                AvailabilityZoneId.of("dar-a"),
                                VmRecord.Role.ENTRY,
                                ServiceId.of(""),
                                "127.0.0.1",
                                linkPort,
                                VmRecord.State.LIVE));
        return new Entry(process, vm, URI.create("http://127.0.0.1:" + adminPort));
    }

    private static int duties(LoopbackDeployment deployment, Entry entry) {
        DemoClient.Reply reply =
                deployment.client().send("GET", entry.admin().resolve("/status"), Map.of(), null);
        return reply.isOk() ? reply.json().path("duties").size() : 0;
    }

    @Test
    void shouldLetOnlyOneProcessIssueOrdersAndReports(@TempDir Path folder) throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            deployment.setUsageWindow(1);
            Entry first = entry(deployment, folder, "entry-a");
            try (JvmProcess a = first.process()) {
                LoopbackDeployment.await(() -> duties(deployment, first) == 4);
                Entry second = entry(deployment, folder, "entry-b");
                try (JvmProcess b = second.process()) {
                    LoopbackDeployment.pause(2_000);
                    assertThat(duties(deployment, second), is(0));
                    a.signal("STOP");
                    LoopbackDeployment.await(() -> duties(deployment, second) == 4);
                    a.signal("CONT");
                    LoopbackDeployment.pause(4_000);
                    assertThat(duties(deployment, first), is(0));
                    assertThat(duties(deployment, second), is(4));
                }
            }
            checkOrders(deployment);
            checkReports(deployment);
        }
    }

    /**
     * Checks that the fencing numbers of a pool never decrease in the order of arrival, so that no
     * order of the former holder follows one of its successor.
     */
    private static void checkOrders(LoopbackDeployment deployment) {
        JsonNode orders = get(deployment, "/targets/orders");
        Map<String, Long> lastNumbers = new HashMap<>();
        for (JsonNode order : orders) {
            String pool = order.path("service").asText() + "/" + order.path("zone").asText();
            long number = order.path("fencing").asLong();
            assertThat(pool, number, greaterThanOrEqualTo(lastNumbers.getOrDefault(pool, 1L)));
            lastNumbers.put(pool, number);
        }
        assertThat(orders.size(), greaterThan(0));
    }

    private static void checkReports(LoopbackDeployment deployment) {
        Map<Long, String> reports = new HashMap<>();
        for (JsonNode report : get(deployment, "/usage")) {
            String before = reports.put(report.path("window").asLong(), report.toString());
            assertThat(before == null || before.equals(report.toString()), is(true));
        }
        assertThat(reports.size(), greaterThan(1));
    }

    private static JsonNode get(LoopbackDeployment deployment, String path) {
        return deployment
                .client()
                .send("GET", deployment.platformUrl().resolve(path), Map.of(), null)
                .json();
    }
}
