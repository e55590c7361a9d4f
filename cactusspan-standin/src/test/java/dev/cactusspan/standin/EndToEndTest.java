package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.settings.SideSettings;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the complete request path on loopback, with failures of its components. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
final class EndToEndTest {
    private static final String COMPLETIONS = "/v1/completions";
    private static final String HOLDS = "/v1/services/booking/holds";
    private static final String QUERIES = "/v1/services/booking/queries";
    private static final String OFFICE = "box-office-dar";

    private static Map<String, Object> completion(String prompt, int tokens, boolean isStreamed) {
        return Map.of(
                "model",
                "lantern-lm",
                "prompt",
                prompt,
                "max_tokens",
                tokens,
                "stream",
                isStreamed);
    }

    @Test
    void shouldServeCompleteAndStreamedResponsesAndKeepKeysFromTargets() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            EngineStandIn engine = deployment.startEngine("dar-a", true);
            deployment.startService("dar-a");
            deployment.startEntry("dar-a");
            deployment.awaitTargets(2);
            DemoClient.Reply complete =
                    deployment.post(0, COMPLETIONS, OFFICE, "", completion("p", 5, false));
            assertThat(
                    complete.json().path("choices").path(0).path("text").asText(),
                    is(EngineStandIn.expectedText("p", 5)));
            assertThat(complete.outcome(), containsString("kind=ok"));
            DemoClient.Reply streamed =
                    deployment.post(0, COMPLETIONS, OFFICE, "", completion("p", 5, true));
            assertThat(streamed.text(), containsString("[DONE]"));
            assertThat(engine.keysSeen(), is(0L));
            DemoClient.Reply withKeyInBody =
                    deployment.post(0, QUERIES, OFFICE, "", "my key is csk-" + OFFICE);
            assertThat(withKeyInBody.errorKind(), is("bad_request"));
            DemoClient.Reply withKeyInQuery =
                    deployment.post(0, QUERIES + "?k=csk-" + OFFICE, OFFICE, "", "text");
            assertThat(withKeyInQuery.errorKind(), is("bad_request"));
        }
    }

    @Test
    void shouldRejectRequestsByAccountRouteAndLimit() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            deployment.startService("dar-a");
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            assertThat(deployment.post(0, QUERIES, "", "", "x").errorKind(), is("unauthenticated"));
            assertThat(
                    deployment.post(0, HOLDS, "settlement", "k", "x").errorKind(), is("forbidden"));
            assertThat(
                    deployment.post(0, HOLDS, OFFICE, "", "x").errorKind(),
                    is("idempotency_key_required"));
            assertThat(
                    deployment.post(0, "/v1/services/none/x", OFFICE, "", "x").errorKind(),
                    is("not_found"));
            assertThat(
                    deployment.post(0, QUERIES, OFFICE, "", "x".repeat(1_100_000)).errorKind(),
                    is("payload_too_large"));
            assertThat(deployment.send("GET", 0, QUERIES, "", "", null).status(), is(200));
            assertThat(
                    deployment
                            .post(0, COMPLETIONS, OFFICE, "", completion("p", 1, false))
                            .errorKind(),
                    is("no_target"));
        }
    }

    @Test
    void shouldCloseARunningStreamAndRejectNewRequestsWhenItsKeyIsRevoked() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            deployment.startEngine("dar-a", true);
            deployment.startEntry("dar-a");
            deployment.startEntry("arusha-a");
            deployment.awaitTargets(1);
            CompletableFuture<DemoClient.Reply> running =
                    CompletableFuture.supplyAsync(
                            () ->
                                    deployment.post(
                                            1,
                                            COMPLETIONS,
                                            OFFICE,
                                            "",
                                            completion("long", 4_000, true)));
            LoopbackDeployment.pause(300);
            deployment.setKey(OFFICE, "csk-replaced");
            deployment.publishDocument();
            DemoClient.Reply reply = running.get(10, TimeUnit.SECONDS);
            assertThat(reply.text(), not(containsString("[DONE]")));
            for (int entry = 0; entry < 2; entry++) {
                assertThat(
                        deployment.post(entry, QUERIES, OFFICE, "", "x").errorKind(),
                        is("unauthenticated"));
            }
        }
    }

    @Test
    void shouldServeDuringAPlatformOutageAndRejectNewClaimsUnexecuted() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            ServiceStandIn service = deployment.startService("dar-a");
            deployment.startEntry("dar-a");
            deployment.startEntry("dar-a");
            deployment.startEntry("arusha-a");
            deployment.awaitTargets(1);
            LoopbackDeployment.pause(5_000);
            assertThat(deployment.post(0, HOLDS, OFFICE, "k1", "x").status(), is(200));
            deployment.platform().setFaults(PlatformStandIn.Faults.DOWN);
            LoopbackDeployment.pause(9_000);
            for (int entry = 0; entry < 3; entry++) {
                assertThat(deployment.post(entry, QUERIES, OFFICE, "", "x").status(), is(200));
            }
            DemoClient.Reply rejected = deployment.post(0, HOLDS, OFFICE, "k2", "x");
            assertThat(rejected.errorKind(), is("claim_unavailable"));
            assertThat(rejected.isNotExecuted(), is(true));
            assertThat(service.runs().containsKey("k2"), is(false));
            deployment.platform().setFaults(PlatformStandIn.Faults.NONE);
            LoopbackDeployment.await(
                    () -> deployment.post(0, HOLDS, OFFICE, "k2", "x").status() == 200);
            assertThat(service.runs().get("k2"), is(1));
        }
    }

    @Test
    void shouldGetTheDocumentFromAPeerAfterARestartDuringAnOutage() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            deployment.startService("dar-a");
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            deployment.setKey(OFFICE, "csk-replaced");
            deployment.publishDocument();
            LoopbackDeployment.await(
                    () -> deployment.post(0, QUERIES, OFFICE, "", "x").status() == 401);
            deployment.platform().setFaults(PlatformStandIn.Faults.DOWN);
            deployment.startEntry("dar-a");
            assertThat(deployment.post(1, QUERIES, OFFICE, "", "x").isNotExecuted(), is(true));
            LoopbackDeployment.await(
                    () -> deployment.post(1, QUERIES, "kiosks", "", "x").status() == 200);
            assertThat(deployment.post(1, QUERIES, OFFICE, "", "x").status(), is(401));
        }
    }

    @Test
    void shouldRunAHoldOnceWhenPlatformResponsesAreLost() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            ServiceStandIn service = deployment.startService("dar-a");
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            deployment.platform().setFaults(PlatformStandIn.Faults.LOSES_REPLIES);
            for (int i = 0; i < 20; i++) {
                deployment.post(0, HOLDS, OFFICE, "k" + i % 5, "x");
            }
            deployment.platform().setFaults(PlatformStandIn.Faults.NONE);
            service.runs().forEach((key, runs) -> assertThat(key, runs, is(1)));
        }
    }

    @Test
    void shouldQueryTheTargetWhenTheResponseToAHoldWasLost() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            ServiceStandIn service = ServiceStandIn.start("127.0.0.1", 0);
            LoopbackDeployment.Side side =
                    deployment.startSide(
                            "dar-a", "booking", SideSettings.Kind.SERVICE, service.port());
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            service.setDelay(3_000);
            CompletableFuture<DemoClient.Reply> first =
                    CompletableFuture.supplyAsync(
                            () -> deployment.post(0, HOLDS, OFFICE, "k1", "x"));
            LoopbackDeployment.await(() -> service.runs().containsKey("k1"));
            side.process().close();
            assertThat(first.get(10, TimeUnit.SECONDS).errorKind(), is("outcome_unknown"));
            deployment.startSide("dar-a", "booking", SideSettings.Kind.SERVICE, service.port());
            LoopbackDeployment.await(
                    () -> deployment.post(0, QUERIES, OFFICE, "", "x").status() == 200);
            LoopbackDeployment.await(
                    () -> deployment.post(0, HOLDS, OFFICE, "k1", "x").status() == 200);
            assertThat(service.runs().get("k1"), is(1));
            service.close();
        }
    }

    @Test
    void shouldRetryWhenAnEngineDisconnectsAndNeverReturnATruncatedResponse() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            EngineStandIn failing = deployment.startEngine("dar-a", true);
            deployment.startEngine("arusha-a", true);
            deployment.startEntry("dar-a");
            deployment.awaitTargets(2);
            failing.truncateAfter(3);
            for (int i = 0; i < 10; i++) {
                DemoClient.Reply complete =
                        deployment.post(0, COMPLETIONS, OFFICE, "", completion("p" + i, 8, false));
                assertThat(
                        complete.json().path("choices").path(0).path("text").asText(),
                        is(EngineStandIn.expectedText("p" + i, 8)));
                DemoClient.Reply streamed =
                        deployment.post(0, COMPLETIONS, OFFICE, "", completion("p" + i, 8, true));
                boolean isComplete = streamed.text().contains("[DONE]");
                boolean isConnectionClosed = streamed.status() == 0;
                assertThat(isComplete != isConnectionClosed, is(true));
            }
        }
    }

    @Test
    void shouldInterruptNoRequestWhenATargetDrains() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            ServiceStandIn service = ServiceStandIn.start("127.0.0.1", 0);
            LoopbackDeployment.Side side =
                    deployment.startSide(
                            "dar-a", "booking", SideSettings.Kind.SERVICE, service.port());
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            service.setDelay(1_500);
            CompletableFuture<DemoClient.Reply> running =
                    CompletableFuture.supplyAsync(
                            () -> deployment.post(0, HOLDS, OFFICE, "k1", "x"));
            LoopbackDeployment.await(() -> service.runs().containsKey("k1"));
            CompletableFuture<Void> drained = CompletableFuture.runAsync(side.process()::drain);
            LoopbackDeployment.pause(500);
            DemoClient.Reply rejected = deployment.post(0, HOLDS, OFFICE, "k2", "x");
            assertThat(rejected.isNotExecuted(), is(true));
            assertThat(running.get(10, TimeUnit.SECONDS).status(), is(200));
            drained.get(10, TimeUnit.SECONDS);
            assertThat(service.runs().containsKey("k2"), is(false));
            service.close();
        }
    }

    @Test
    void shouldDeliverAStepOnceWhenActivationFailsAtOneEngine() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            EngineStandIn failing = deployment.startEngine("dar-a", false);
            deployment.startEngine("arusha-a", true);
            deployment.startEntry("dar-a");
            deployment.startEntry("arusha-a");
            deployment.awaitTargets(2);
            failing.failActivations(true);
            String weights = "/v1/models/lantern-lm/weights";
            deployment.post(0, weights, "lantern-trainer", "", Map.of("staged", 1, "active", 1));
            Object step =
                    Map.of(
                            "step",
                            1,
                            "groups",
                            List.of(Map.of("prompt", "g", "samples", 64, "max_tokens", 40)));
            String base = "/v1/trainers/lantern-trainer-1/";
            deployment.post(0, base + "steps", "lantern-trainer", "", step);
            Set<Integer> received = new HashSet<>();
            long after = 0;
            int entry = 0;
            boolean isComplete = false;
            for (int poll = 0; poll < 100 && !isComplete; poll++) {
                DemoClient.Reply reply =
                        deployment.send(
                                "GET",
                                entry,
                                base + "deliveries?wait_ms=1000&after=" + after,
                                "lantern-trainer",
                                "",
                                null);
                if (reply.status() != 200) {
                    deployment.post(entry, base + "steps", "lantern-trainer", "", step);
                    continue;
                }
                JsonNode body = reply.json();
                after = body.path("delivery").asLong();
                isComplete = !body.has("samples");
                for (JsonNode sample : body.path("samples")) {
                    assertThat(received.add(sample.path("index").asInt()), is(true));
                }
                if (poll == 1) {
                    deployment.post(
                            entry,
                            weights,
                            "lantern-trainer",
                            "",
                            Map.of("staged", 2, "active", 2));
                    entry = 1;
                }
            }
            assertThat(isComplete, is(true));
            assertThat(received.size(), is(64));
        }
    }

    @Test
    void shouldCloseOnlyTheConnectionThatSendsABadFrame() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            ServiceStandIn service = ServiceStandIn.start("127.0.0.1", 0);
            LoopbackDeployment.Side side =
                    deployment.startSide(
                            "dar-a", "booking", SideSettings.Kind.SERVICE, service.port());
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            try (Socket socket = new Socket("127.0.0.1", side.linkPort())) {
                socket.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(readToEnd(socket), is(true));
            }
            assertThat(deployment.post(0, QUERIES, OFFICE, "", "x").status(), is(200));
            service.close();
        }
    }

    private static boolean readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        while (socket.getInputStream().read() >= 0) {
            // The side process may send heartbeats before it closes.
        }
        return true;
    }

    @Test
    void shouldBypassAConnectionThatStalled() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment();
                ServiceStandIn service = ServiceStandIn.start("127.0.0.1", 0)) {
            LoopbackDeployment.Side side =
                    deployment.startSide(
                            "dar-a", "booking", SideSettings.Kind.SERVICE, service.port());
            try (LoopbackProxy proxy = LoopbackProxy.to(side.linkPort())) {
                deployment.listVm(side.settings(), proxy.port());
                deployment.startEntry("dar-a");
                deployment.awaitTargets(1);
                proxy.stallConnections();
                DemoClient.Reply reply = deployment.post(0, QUERIES, OFFICE, "", "x");
                assertThat(reply.status(), is(200));
            }
        }
    }

    @Test
    void shouldReportAccountUsage() throws Exception {
        try (LoopbackDeployment deployment = new LoopbackDeployment()) {
            deployment.startService("dar-a");
            deployment.setUsageWindow(1);
            deployment.startEntry("dar-a");
            deployment.awaitTargets(1);
            for (int i = 0; i < 30; i++) {
                assertThat(deployment.post(0, QUERIES, OFFICE, "", "x").status(), is(200));
            }
            LoopbackDeployment.await(() -> deployment.reportedRequests(OFFICE) >= 30);
            LoopbackDeployment.pause(2_500);
            assertThat(deployment.reportedRequests(OFFICE), is(30L));
        }
    }
}
