import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: one revision counter,
 * conditional writes of at most 32 entries, leases, watches with a history of 20 s, values of at
 * most 1 MiB.
 */
final class Kv implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int VALUE_BYTES = 1 << 20;
    private static final long HISTORY_MS = 20_000;
    private static final long ANSWER_MS = 4;

    record Item(String key, byte[] value, long revision, long created, long lease, long atMs) {}

    /** Decides what becomes of a call; used by cases that disturb the store. */
    interface Disturbance {
        /** Returns a status that refuses the call, 0 to serve it, -1 to close the connection. */
        int before(HttpExchange exchange, String path);

        /** Returns true if the answer to a call that was executed is lost. */
        default boolean losesAnswer(HttpExchange exchange, String path, JsonNode body) {
            return false;
        }
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mHistoryFrom = 100;
    private final HttpServer mServer;
    private volatile boolean mIsClosed;
    volatile Disturbance disturbance = (e, path) -> 0;

    Kv(String ip) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 500);
        mServer.setExecutor(Executors.newCachedThreadPool());
        mServer.createContext("/", this::handle);
        mServer.start();
        Thread timer = new Thread(this::expire, "kv-timer");
        timer.setDaemon(true);
        timer.start();
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void expire() {
        while (!mIsClosed) {
            synchronized (this) {
                long nowMs = now();
                List<Long> ended = new ArrayList<>();
                mLeases.forEach(
                        (id, lease) -> {
                            if (nowMs >= lease[1]) {
                                ended.add(id);
                            }
                        });
                ended.forEach(this::endLease);
                while (!mHistory.isEmpty() && nowMs - mHistory.get(0).atMs() > HISTORY_MS) {
                    mHistoryFrom = mHistory.remove(0).revision();
                }
            }
            Main.pause(20);
        }
    }

    private void endLease(long id) {
        if (mLeases.remove(id) == null) {
            return;
        }
        mRevision++;
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == id) {
                remove(item.key());
            }
        }
        notifyAll();
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Item(key, null, mRevision, 0, 0, now()));
        }
    }

    private void put(String key, byte[] value, long lease) {
        Item before = mItems.get(key);
        long created = before == null ? mRevision : before.created();
        Item item = new Item(key, value, mRevision, created, lease, now());
        mItems.put(key, item);
        mHistory.add(item);
    }

    /** Writes a key as the operator or a worker does. */
    synchronized long write(String key, Object value) {
        mRevision++;
        put(key, Main.json(value), 0);
        notifyAll();
        return mRevision;
    }

    synchronized void delete(String key) {
        mRevision++;
        remove(key);
        notifyAll();
    }

    /** Drops the history, as after more than its 20 s. */
    synchronized void forget() {
        mHistory.clear();
        mHistoryFrom = mRevision;
    }

    synchronized Item read(String key) {
        return mItems.get(key);
    }

    synchronized List<Item> list(String prefix) {
        return from(prefix, prefix).toList();
    }

    private Stream<Item> from(String prefix, String first) {
        return mItems.tailMap(first, true).values().stream()
                .takeWhile(i -> i.key().startsWith(prefix));
    }

    private static Map<String, Object> json(Item item) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", item.key());
        map.put("revision", item.revision());
        if (item.value() == null) {
            map.put("deleted", true);
            return map;
        }
        map.put("value", Base64.getEncoder().encodeToString(item.value()));
        map.put("created", item.created());
        map.put("lease", item.lease());
        return map;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) {
                query.put(
                        part.substring(0, eq),
                        URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        int refused = disturbance.before(exchange, path);
        if (refused < 0) {
            exchange.close();
            return;
        }
        if (refused > 0) {
            Main.answer(exchange, refused, new byte[0]);
            return;
        }
        Main.pause(ANSWER_MS);
        JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        Map<String, String> query = query(exchange);
        int[] status = {200};
        Object answer = call(exchange, path, query, body, status);
        if (disturbance.losesAnswer(exchange, path, body)) {
            exchange.close();
            return;
        }
        Main.answer(exchange, status[0], answer == null ? new byte[0] : Main.json(answer));
    }

    private Object call(
            HttpExchange exchange,
            String path,
            Map<String, String> query,
            JsonNode body,
            int[] status) {
        if (path.equals("/-/kv-key")) {
            return key(query.get("key"), status);
        }
        if (path.equals("/-/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/-/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.getOrDefault("wait_ms", "0")),
                    status);
        }
        if (path.equals("/-/kv-txn")) {
            return txn(body, status);
        }
        if (path.equals("/-/kv-lease")) {
            return grant(body.path("ttl_ms").asLong());
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        synchronized (this) {
            if (path.startsWith("/-/kv-keep/")) {
                long[] lease = mLeases.get(id);
                if (lease == null) {
                    status[0] = 404;
                    return null;
                }
                lease[1] = now() + lease[0];
                return Map.of("ttl_ms", lease[0]);
            }
            endLease(id);
            return Map.of();
        }
    }

    private synchronized Object key(String key, int[] status) {
        Item item = mItems.get(key);
        if (item == null) {
            status[0] = 404;
            return null;
        }
        Map<String, Object> map = json(item);
        map.put("as_of", mRevision);
        return map;
    }

    private synchronized Object range(String prefix, String after) {
        List<Object> items = new ArrayList<>();
        long bytes = 0;
        boolean hasMore = false;
        String first = after.compareTo(prefix) > 0 ? after : prefix;
        for (Iterator<Item> all = from(prefix, first).iterator(); all.hasNext(); ) {
            Item item = all.next();
            if (item.key().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() >= 500 || (bytes > 0 && bytes + item.value().length > VALUE_BYTES)) {
                hasMore = true;
                break;
            }
            bytes += item.value().length;
            items.add(json(item));
        }
        return Map.of("items", items, "has_more", hasMore, "as_of", mRevision);
    }

    private synchronized Object watch(String prefix, long after, long waitMs, int[] status) {
        long untilMs = now() + waitMs;
        while (true) {
            if (after < mHistoryFrom) {
                status[0] = 410;
                return null;
            }
            List<Object> events = new ArrayList<>();
            for (Item item : mHistory) {
                if (item.revision() > after && item.key().startsWith(prefix)) {
                    events.add(json(item));
                }
            }
            long leftMs = untilMs - now();
            if (!events.isEmpty() || leftMs <= 0) {
                return Map.of("events", events, "as_of", mRevision);
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Map.of("events", events, "as_of", mRevision);
            }
        }
    }

    private synchronized Object txn(JsonNode body, int[] status) {
        int entries =
                body.path("expected").size()
                        + body.path("writes").size()
                        + body.path("deletes").size();
        if (body.path("writes").size() + body.path("deletes").size() > 32
                || body.path("expected").size() > 32
                || entries > 64) {
            status[0] = 400;
            return null;
        }
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (JsonNode row : body.path("expected")) {
            Item item = mItems.get(row.path("key").asText());
            if (item != null) {
                current.add(json(item));
            }
            holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
        }
        if (!holds) {
            status[0] = 412;
            return Map.of("items", current);
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (write.path("value").asText().length() > VALUE_BYTES * 4 / 3 + 4) {
                status[0] = 400;
                return null;
            }
            if (lease != 0 && !mLeases.containsKey(lease)) {
                status[0] = 404;
                return null;
            }
        }
        mRevision++;
        for (JsonNode write : body.path("writes")) {
            put(
                    write.path("key").asText(),
                    Base64.getDecoder().decode(write.path("value").asText()),
                    write.path("lease").asLong());
        }
        body.path("deletes").forEach(k -> remove(k.asText()));
        notifyAll();
        return Map.of("revision", mRevision);
    }

    private synchronized Object grant(long ttlMs) {
        mRevision++;
        mLeases.put(mRevision, new long[] {ttlMs, now() + ttlMs});
        return Map.of("lease", mRevision, "ttl_ms", ttlMs);
    }

    @Override
    public void close() {
        mIsClosed = true;
        mServer.stop(0);
    }
}
