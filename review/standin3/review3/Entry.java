package review3;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry process with the command of the deploy file. Like the platform, it starts the process
 * again a short time after it has ended.
 */
final class Entry implements AutoCloseable {
    private static final long RESTART_MS = 500;

    private final Path mRoot;
    private final Path mFolder;
    private final String mName;
    private final Record mRecord;
    private final int mClientPort = freePort();
    private final int mReadyPort = freePort();
    private final List<Integer> mExits = new ArrayList<>();
    private volatile Process mProcess;
    private volatile boolean mIsClosed;
    private volatile boolean mIsKilledByTest;

    Entry(Path root, Path folder, String name, Record record, int storePort, int usagePort) throws IOException {
        this(root, folder, name, record, storePort, usagePort, true);
    }

    Entry(Path root, Path folder, String name, Record record, int storePort, int usagePort, boolean isFencingChecked)
            throws IOException {
        mRoot = root;
        mFolder = folder;
        mName = name;
        mRecord = record;
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("vm", name);
        settings.put("zone", "zone-a");
        settings.put("zones", Map.of("zone-a", "region-a"));
        settings.put("ip", "127.0.0.1");
        settings.put("client_address", "127.0.0.1:" + mClientPort);
        settings.put("ready_address", "127.0.0.1:" + mReadyPort);
        settings.put("link_port", freePort());
        settings.put("metrics_port", freePort());
        settings.put("store_address", "127.0.0.1:" + storePort);
        settings.put("usage_address", "127.0.0.1:" + usagePort);
        settings.put("usage_window_s", 5);
        settings.put("turn_ms", 3000);
        settings.put("is_fencing_checked", isFencingChecked);
        settings.put("reconnect_ms", 4000);
        settings.put("drain_ms", 2500);
        settings.put("desired_state_ms", 2500);
        settings.put("batch_end_ms", 3000);
        settings.put("learns_capacity", true);
        settings.put("stop_s", 8);
        Files.writeString(folder.resolve(name + ".json"), Json.write(settings));
        launch();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the command of a role in the deploy file, split at spaces. */
    static List<String> command(Path root, String role) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("run = \"([^\"]* " + role + ")\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command of role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    private void launch() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(mRoot, "entry"));
        builder.directory(mRoot.toFile());
        builder.environment().put("CACTUSSPAN_CONFIG", mFolder.resolve(mName + ".json").toString());
        File log = mFolder.resolve(mName + ".log").toFile();
        Process process =
                builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        mProcess = process;
        mIsKilledByTest = false;
        mRecord.add("start   %s, process %d", mName, process.pid());
        Thread watcher = new Thread(() -> watch(process), mName);
        watcher.setDaemon(true);
        watcher.start();
    }

    private void watch(Process process) {
        try {
            int code = process.waitFor();
            if (mIsClosed) {
                return;
            }
            mRecord.add("end     %s, process %d, exit code %d%s", mName, process.pid(), code, mIsKilledByTest ? ", by the test" : "");
            if (!mIsKilledByTest) {
                synchronized (mExits) {
                    mExits.add(code);
                }
            }
            Thread.sleep(RESTART_MS);
            if (!mIsClosed) {
                launch();
            }
        } catch (IOException e) {
            mRecord.add("error   %s: %s", mName, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process, as the platform may; it is started again. */
    void kill() {
        mIsKilledByTest = true;
        mRecord.add("kill    %s", mName);
        mProcess.destroyForcibly();
    }

    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + mReadyPort + "/-/readyz").toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns how often the process ended by itself. */
    int ownEnds() {
        synchronized (mExits) {
            return mExits.size();
        }
    }

    String name() {
        return mName;
    }

    int clientPort() {
        return mClientPort;
    }

    long pid() {
        return mProcess.pid();
    }

    /** Tells whether the log has a line with a text. */
    boolean logs(String text) {
        try {
            return Files.readString(mFolder.resolve(mName + ".log")).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
