package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store, after the page on what is spoken. It loses nothing, answers in
 * order, and takes values of {@code value_bytes} at most.
 */
final class Kv implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int VALUE_BYTES = 1 << 20;
    private static final int MAX_ENTRIES = 32;
    private static final long ANSWER_MS = 4;

    /** An item, or a removal if it has no value. */
    record Item(String key, byte[] value, long revision, long created, long lease) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private long mRevision = 1;
    private volatile boolean mIsClosed;

    Kv() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
        mThreads.execute(this::expireLeases);
    }

    // The operator's and the servers' side

    synchronized void put(String key, Object value) {
        put(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        mRevision++;
        remove(key);
        notifyAll();
    }

    /** Stores a value as it is, such as a record of an earlier time. */
    synchronized void putBytes(String key, byte[] value) {
        put(key, value, 0);
        notifyAll();
    }

    private void put(String key, byte[] value, long lease) {
        mRevision++;
        set(key, value, lease);
    }

    private void set(String key, byte[] value, long lease) {
        Item before = mItems.get(key);
        Item item = new Item(key, value, mRevision, before == null ? mRevision : before.created(), lease);
        mItems.put(key, item);
        mHistory.add(item);
    }

    synchronized Map<String, byte[]> read(String prefix) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        for (Item item : mItems.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            values.put(item.key(), item.value());
        }
        return values;
    }

    /** Drops the history, which the store may discard at any time, so that none of it is kept. */
    synchronized void dropHistory() {
        mHistory.clear();
        mHistoryFrom = mRevision;
    }

    private long mHistoryFrom = 1;

    int port() {
        return mServer.getAddress().getPort();
    }

    // Calls

    private void handle(HttpExchange exchange) {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Thread.sleep(ANSWER_MS);
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            if (path.equals("/-/kv-key")) {
                get(exchange, query.getOrDefault("key", ""));
            } else if (path.equals("/-/kv-range")) {
                range(exchange, query);
            } else if (path.equals("/-/kv-watch")) {
                watch(exchange, query);
            } else if (path.equals("/-/kv-txn")) {
                commit(exchange, Json.object(body));
            } else if (path.equals("/-/kv-lease")) {
                grant(exchange, Json.number(Json.object(body), "ttl_ms"));
            } else if (path.startsWith("/-/kv-keep/")) {
                renew(exchange, Long.parseLong(path.substring("/-/kv-keep/".length())));
            } else if (path.startsWith("/-/kv-lease-end/")) {
                synchronized (this) {
                    end(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
                }
                answer(exchange, 200, Map.of());
            } else {
                answer(exchange, 400, Map.of());
            }
        } catch (IOException e) {
            // The caller has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static Map<String, Object> json(Item item) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("key", item.key());
        json.put("revision", item.revision());
        if (item.value() == null) {
            json.put("deleted", true);
            return json;
        }
        json.put("value", Base64.getEncoder().encodeToString(item.value()));
        json.put("created", item.created());
        json.put("lease", item.lease());
        return json;
    }

    private void get(HttpExchange exchange, String key) throws IOException {
        Map<String, Object> body;
        synchronized (this) {
            Item item = mItems.get(key);
            body = item == null ? Map.of() : json(item);
        }
        answer(exchange, body.isEmpty() ? 404 : 200, body);
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<Map<String, Object>> page = new ArrayList<>();
        boolean hasMore = false;
        long asOf;
        synchronized (this) {
            asOf = mRevision;
            long bytes = 0;
            String from = after.compareTo(prefix) > 0 ? after : prefix;
            for (Item item : mItems.tailMap(from).values()) {
                if (!item.key().startsWith(prefix)) {
                    break;
                }
                if (item.key().equals(after)) {
                    continue;
                }
                bytes += item.value().length * 4L / 3;
                if (page.size() >= PAGE_ITEMS || (!page.isEmpty() && bytes > PAGE_BYTES)) {
                    hasMore = true;
                    break;
                }
                page.add(json(item));
            }
        }
        answer(exchange, 200, Map.of("items", page, "has_more", hasMore, "as_of", asOf));
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long untilMs = nowMs() + Long.parseLong(query.get("wait_ms"));
        List<Map<String, Object>> events = new ArrayList<>();
        long asOf;
        synchronized (this) {
            while (true) {
                if (after < mHistoryFrom && mHistoryFrom > 1) {
                    asOf = -1;
                    break;
                }
                asOf = mRevision;
                for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).revision() > after; i--) {
                    if (mHistory.get(i).key().startsWith(prefix)) {
                        events.add(0, json(mHistory.get(i)));
                    }
                }
                long leftMs = untilMs - nowMs();
                if (!events.isEmpty() || leftMs <= 0 || mIsClosed) {
                    break;
                }
                wait(leftMs);
            }
        }
        if (asOf < 0) {
            answer(exchange, 410, Map.of());
        } else {
            answer(exchange, 200, Map.of("events", events, "as_of", asOf));
        }
    }

    private void commit(HttpExchange exchange, Map<String, Object> body) throws IOException {
        List<Map<String, Object>> expected = Json.list(body, "expected");
        List<Map<String, Object>> writes = Json.list(body, "writes");
        List<?> deletes = (List<?>) body.getOrDefault("deletes", List.of());
        if (expected.size() + writes.size() + deletes.size() > 2 * MAX_ENTRIES || writes.size() > MAX_ENTRIES) {
            answer(exchange, 400, Map.of());
            return;
        }
        for (Map<String, Object> write : writes) {
            if (Json.text(write, "value").length() > VALUE_BYTES * 4L / 3 + 4) {
                answer(exchange, 400, Map.of());
                return;
            }
        }
        int status = 200;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Map<String, Object>> changed = new ArrayList<>();
            for (Map<String, Object> row : expected) {
                Item item = mItems.get(Json.text(row, "key"));
                if ((item == null ? 0 : item.revision()) != Json.number(row, "revision")) {
                    changed.add(item == null ? Map.of("key", Json.text(row, "key"), "revision", 0) : json(item));
                }
            }
            boolean hasLeases =
                    writes.stream().allMatch(w -> Json.number(w, "lease") == 0 || mLeases.containsKey(Json.number(w, "lease")));
            if (!changed.isEmpty()) {
                status = 412;
                answer.put("items", changed);
            } else if (!hasLeases) {
                status = 404;
            } else {
                mRevision++;
                for (Map<String, Object> write : writes) {
                    set(Json.text(write, "key"), Base64.getDecoder().decode(Json.text(write, "value")), Json.number(write, "lease"));
                }
                for (Object key : deletes) {
                    remove((String) key);
                }
                answer.put("revision", mRevision);
                notifyAll();
            }
        }
        answer(exchange, status, answer);
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Item(key, null, mRevision, 0, 0));
        }
    }

    private void grant(HttpExchange exchange, long ttlMs) throws IOException {
        long lease;
        synchronized (this) {
            lease = ++mRevision;
            mLeases.put(lease, new long[] {ttlMs, nowMs() + ttlMs});
        }
        answer(exchange, 200, Map.of("lease", lease, "ttl_ms", ttlMs));
    }

    private void renew(HttpExchange exchange, long lease) throws IOException {
        long ttlMs = 0;
        synchronized (this) {
            long[] times = mLeases.get(lease);
            if (times != null) {
                times[1] = nowMs() + times[0];
                ttlMs = times[0];
            }
        }
        answer(exchange, ttlMs > 0 ? 200 : 404, Map.of("ttl_ms", ttlMs));
    }

    private void end(long lease) {
        if (mLeases.remove(lease) == null) {
            return;
        }
        mRevision++;
        for (Item item : new ArrayList<>(mItems.values())) {
            if (item.lease() == lease) {
                remove(item.key());
            }
        }
        notifyAll();
    }

    private void expireLeases() {
        try {
            while (!mIsClosed) {
                synchronized (this) {
                    for (Map.Entry<Long, long[]> entry : new ArrayList<>(mLeases.entrySet())) {
                        if (nowMs() >= entry.getValue()[1]) {
                            end(entry.getKey());
                        }
                    }
                }
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mIsClosed = true;
        synchronized (this) {
            notifyAll();
        }
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
