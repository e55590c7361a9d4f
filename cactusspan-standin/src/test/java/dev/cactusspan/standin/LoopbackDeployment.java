package dev.cactusspan.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusspan.config.DocumentStore;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.config.Stage;
import dev.cactusspan.entry.EntryProcess;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.HttpKeyValueService;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.settings.SideSettings;
import dev.cactusspan.side.SideProcess;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Runs a small deployment on loopback, in threads of this process. */
final class LoopbackDeployment implements AutoCloseable {
    static final EnvironmentId ENVIRONMENT = EnvironmentId.of("kilimanjaro");

    private static final String IP = "127.0.0.1";
    private static final long AWAIT_TIMEOUT_MS = 40_000;
    private static final long POLL_MS = 20;

    private final Deque<AutoCloseable> mCloseables = new ArrayDeque<>();
    private final PlatformStandIn mPlatform = PlatformStandIn.start(IP, 0);
    private final URI mPlatformUrl = URI.create("http://" + IP + ":" + mPlatform.port());
    private final HttpClient mHttp = HttpClient.create();
    private final DocumentStore mStore =
            new DocumentStore(new HttpKeyValueService(mHttp, mPlatformUrl));
    private final DemoClient mClient = new DemoClient();
    private final Map<String, String> mKeys = new HashMap<>();
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final List<Telemetry> mTelemetries = new ArrayList<>();
    private final JsonNode mDocument;
    private long mRevision;
    private int mNext;

    LoopbackDeployment() throws IOException {
        mCloseables.push(mPlatform);
        mCloseables.push(mHttp);
        Path sample =
                Path.of(System.getProperty("project.root", ".."), "samples", "kilimanjaro.json");
        mDocument = JsonText.parse("sample", Files.readString(sample)).get();
        for (JsonNode account : mDocument.path("accounts")) {
            String name = account.path("name").asText();
            mKeys.put(name, "csk-" + name);
            setKey(name, "csk-" + name);
        }
        publishDocument();
    }

    // Operations

    /** Changes the key of an account in the document that {@link #publishDocument} writes. */
    void setKey(String account, String key) {
        for (JsonNode node : mDocument.path("accounts")) {
            if (node.path("name").asText().equals(account)) {
                ((ObjectNode) node)
                        .set(
                                "key_hashes",
                                JsonText.mapper().createArrayNode().add(KeyHash.ofKey(key).text()));
            }
        }
    }

    /** Writes and promotes the document. */
    void publishDocument() {
        String text = JsonText.writeString(mDocument);
        Revision expected = Revision.of(mRevision);
        Result<Revision> stored = mStore.put(ENVIRONMENT, text, expected).join();
        mStore.promote(ENVIRONMENT, stored.get(), expected).join().get();
        mRevision++;
    }

    EngineStandIn startEngine(String zone, boolean namesVersion) throws IOException {
        EngineStandIn engine =
                EngineStandIn.start(new EngineStandIn.EngineOptions(IP, 0, 3_000, namesVersion));
        mCloseables.push(engine);
        startSide(zone, "lantern-lm", SideSettings.Kind.ENGINE, engine.port());
        return engine;
    }

    ServiceStandIn startService(String zone) throws IOException {
        ServiceStandIn service = ServiceStandIn.start(IP, 0);
        mCloseables.push(service);
        startSide(zone, "booking", SideSettings.Kind.SERVICE, service.port());
        return service;
    }

    /** Starts a side process for a target and adds its VM to the VM list. */
    Side startSide(String zone, String service, SideSettings.Kind kind, int targetPort)
            throws IOException {
        int number = mNext++;
        SideSettings settings =
                new SideSettings(
                        ENVIRONMENT,
                        ServiceId.of(service),
                        TargetId.of("target-" + number),
                        VmId.of("vm-" + number),
                        AvailabilityZoneId.of(zone),
                        IP,
                        0,
                        0,
                        mPlatformUrl,
                        URI.create("http://" + IP + ":" + targetPort),
                        kind,
                        16,
                        0,
                        5_000);
        SideProcess process = new SideProcess(settings, Telemetry.create());
        mCloseables.push(process);
        Side side = new Side(process, process.start(), settings);
        listVm(settings, side.linkPort());
        return side;
    }

    void listVm(SideSettings settings, int linkPort) {
        mPlatform.listVm(
                new VmRecord(
                        settings.vm(),
                        ENVIRONMENT,
                        settings.zone(),
                        VmRecord.Role.TARGET,
                        settings.service(),
                        IP,
                        linkPort,
                        VmRecord.State.LIVE));
    }

    EntryProcess startEntry(String zone) throws IOException {
        VmId vm = VmId.of("entry-" + mNext++);
        EntrySettings settings =
                new EntrySettings(
                        ENVIRONMENT,
                        Stage.PRODUCTION,
                        vm,
                        AvailabilityZoneId.of(zone),
                        IP,
                        0,
                        0,
                        0,
                        mPlatformUrl,
                        0,
                        5_000);
        Telemetry telemetry = Telemetry.create();
        EntryProcess entry = new EntryProcess(settings, telemetry);
        mCloseables.push(entry);
        int linkPort = entry.start();
        mPlatform.listVm(
                new VmRecord(
                        vm,
                        ENVIRONMENT,
                        settings.zone(),
                        VmRecord.Role.ENTRY,
                        ServiceId.of(""),
                        IP,
                        linkPort,
                        VmRecord.State.LIVE));
        mEntries.add(entry);
        mTelemetries.add(telemetry);
        return entry;
    }

    /** Waits until each entry has a document in force and is connected to a number of targets. */
    void awaitTargets(int targets) {
        for (Telemetry telemetry : mTelemetries) {
            await(() -> telemetry.text().contains("cactusspan_entry_targets " + targets + ".0"));
            await(() -> !telemetry.text().contains("cactusspan_entry_revision 0.0"));
        }
    }

    static void await(BooleanSupplier condition) {
        long untilMs = System.nanoTime() / 1_000_000 + AWAIT_TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() / 1_000_000 > untilMs) {
                throw new AssertionError("condition not met within " + AWAIT_TIMEOUT_MS + " ms");
            }
            pause(POLL_MS);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    DemoClient.Reply post(int entry, String path, String account, String idempotency, Object body) {
        return send("POST", entry, path, account, idempotency, body);
    }

    DemoClient.Reply send(
            String method, int entry, String path, String account, String key, Object body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        if (!account.isEmpty()) {
            headers.put("Authorization", "Bearer " + mKeys.get(account));
        }
        if (!key.isEmpty()) {
            headers.put("Idempotency-Key", key);
        }
        return mClient.send(method, uri(entry, path), headers, body);
    }

    URI uri(int entry, String path) {
        return URI.create("http://" + IP + ":" + mEntries.get(entry).port() + path);
    }

    /** Sets the length of usage windows and publishes the document. */
    void setUsageWindow(int seconds) {
        ((ObjectNode) mDocument.path("bounds")).put("usage_window_s", seconds);
        publishDocument();
    }

    /**
     * Returns the number of an account's requests that were reported to the platform, over all
     * windows.
     */
    long reportedRequests(String account) {
        JsonNode reports =
                mClient.send("GET", mPlatformUrl.resolve("/usage"), Map.of(), null).json();
        Map<Long, Long> byWindow = new HashMap<>();
        for (JsonNode report : reports) {
            JsonNode usage = report.path("usage").path("accounts").path(account);
            byWindow.put(report.path("window").asLong(), usage.path("requests").asLong());
        }
        return byWindow.values().stream().mapToLong(Long::longValue).sum();
    }

    // Accessors

    PlatformStandIn platform() {
        return mPlatform;
    }

    URI platformUrl() {
        return mPlatformUrl;
    }

    DemoClient client() {
        return mClient;
    }

    Telemetry telemetry(int entry) {
        return mTelemetries.get(entry);
    }

    @Override
    public void close() throws Exception {
        while (!mCloseables.isEmpty()) {
            mCloseables.pop().close();
        }
    }

    /** A running side process. */
    record Side(SideProcess process, int linkPort, SideSettings settings) {}
}
