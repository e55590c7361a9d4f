package dev.cactusspan.standin;

import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.Link;
import dev.cactusspan.link.LinkListener;
import dev.cactusspan.link.LinkReactor;
import dev.cactusspan.link.LinkSettings;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.kohsuke.args4j.Option;

/**
 * Measures the cost of idle target links for an entry: CPU time, bytes and heap as functions of the
 * number of targets. Simulates all targets itself, over real links that report load twice a second.
 */
public final class SlopesCommand implements Command {
    private static final List<Integer> TARGET_COUNTS = List.of(0, 50, 100, 200, 400);
    private static final long LOAD_INTERVAL_MS = 500;
    private static final long SETTLE_TIME_MS = 5_000;
    private static final long SAMPLE_TIME_MS = 15_000;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final double TICKS_PER_S = 100.0;
    private static final int UTIME_FIELD = 11;

    @Option(name = "--platform", required = true, usage = "address of the platform stand-in")
    private URI mPlatform;

    @Option(name = "--admin", required = true, usage = "admin address of the entry")
    private URI mAdmin;

    @Option(name = "--pid", required = true, usage = "process id of the entry")
    private long mPid;

    private final DemoClient mClient = new DemoClient();
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mNumber = new AtomicInteger();

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        try (LinkReactor reactor =
                        new LinkReactor(
                                LinkSettings.STANDARD,
                                () -> Revision.NONE,
                                () -> new Message.Heartbeat(0, false));
                StandInTimer timer = new StandInTimer("loads")) {
            reactor.start(new Targets());
            int port = reactor.listen(new InetSocketAddress("127.0.0.1", 0));
            timer.scheduleRepeating(LOAD_INTERVAL_MS * 1_000, this::reportLoads);
            out.printf(
                    "%8s %10s %12s %12s %10s%n",
                    "targets", "cpu %", "sent B/s", "received B/s", "heap MB");
            int listed = 0;
            for (int targets : TARGET_COUNTS) {
                while (listed < targets) {
                    listVm(listed++, port);
                }
                if (!awaitTargets(targets)) {
                    err.println("slopes: " + targets + " targets were not connected in time");
                    return ExitCode.FAILED;
                }
                sleep(SETTLE_TIME_MS);
                sample(out, targets);
            }
        }
        return ExitCode.OK;
    }

    private void listVm(int number, int port) {
        VmRecord vm =
                new VmRecord(
                        VmId.of("slope-" + number),
                        EnvironmentId.of("kilimanjaro"),
                        AvailabilityZoneId.of("dar-a"),
                        VmRecord.Role.TARGET,
                        ServiceId.of("booking"),
                        "127.0.0.1",
                        port,
                        VmRecord.State.LIVE);
        mClient.send("PUT", mPlatform.resolve("/vms"), Map.of(), vm);
    }

    private void reportLoads() {
        int number = mNumber.incrementAndGet();
        Message.Load load = new Message.Load(number % 8, 0, 16, WeightVersion.of(1), false);
        mLinks.forEach(link -> link.send(load));
    }

    private boolean awaitTargets(int targets) {
        long untilMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            DemoClient.Reply status =
                    mClient.send("GET", mAdmin.resolve("/status"), Map.of(), null);
            if (status.isOk() && status.json().path("targets").asInt() == targets) {
                return true;
            }
            sleep(100);
        }
        return false;
    }

    private void sample(PrintStream out, int targets) throws IOException {
        Snapshot before = snapshot();
        sleep(SAMPLE_TIME_MS);
        Snapshot after = snapshot();
        double seconds = SAMPLE_TIME_MS / 1_000.0;
        out.printf(
                "%8d %10.2f %12.0f %12.0f %10.1f%n",
                targets,
                100 * (after.cpuTicks() - before.cpuTicks()) / TICKS_PER_S / seconds,
                (after.sentBytes() - before.sentBytes()) / seconds,
                (after.receivedBytes() - before.receivedBytes()) / seconds,
                after.heapBytes() / 1e6);
    }

    private Snapshot snapshot() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + mPid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[UTIME_FIELD + 1]);
        String metrics = mClient.send("GET", mAdmin.resolve("/metrics"), Map.of(), null).text();
        return new Snapshot(
                ticks,
                metric(metrics, "link_sent_bytes"),
                metric(metrics, "link_received_bytes"),
                metric(metrics, "heap_used_bytes"));
    }

    private static double metric(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith("cactusspan_" + name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElse(0);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Snapshot(
            double cpuTicks, double sentBytes, double receivedBytes, double heapBytes) {}

    /** Identifies each link as a separate target. */
    private final class Targets implements LinkListener {
        @Override
        public void onUp(Link link) {
            // The entry sends its hello first.
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (frame.message() instanceof Message.EntryHello hello) {
                int number = mNumber.incrementAndGet();
                link.send(
                        new Message.SideHello(
                                hello.environment(),
                                ServiceId.of("booking"),
                                TargetId.of("slope-" + number),
                                VmId.of("slope-" + number),
                                AvailabilityZoneId.of("dar-a"),
                                number));
                mLinks.add(link);
            }
        }

        @Override
        public void onDown(Link link, String reason) {
            mLinks.remove(link);
        }
    }
}
