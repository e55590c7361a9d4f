import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The platform's metadata store, as its page describes it; it may lose answers. */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_ENTRIES = 32;
    private static final long HISTORY_MS = 20_000;

    /** Stands for an answer that is not sent. */
    private static final int LOST = 0;

    private static final long SILENCE_MS = 20_000;

    private static final class Item {
        final String key;
        final byte[] value;
        final long revision;
        final long created;
        final long lease;
        final long atMs = nowMs();

        Item(String key, byte[] value, long revision, long created, long lease) {
            this.key = key;
            this.value = value;
            this.revision = revision;
            this.created = created;
            this.lease = lease;
        }
    }

    private static final class Lease {
        final long ttlMs;
        long untilMs;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            untilMs = nowMs() + ttlMs;
        }
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Http.Server mServer;
    private volatile Predicate<String> mIsAnswerLost = key -> false;
    private long mCommits;
    private long mRevision = 1;
    private long mHistoryFrom = 1;
    private long mNextLease = 1_000;

    Store(String ip) throws IOException {
        mServer = new Http.Server(ip, 0, this::handle);
        Http.daemon("leases", this::expireForever);
    }

    String address() {
        return mServer.address();
    }

    /**
     * Loses the answers of writes that take effect.
     *
     * @param isAnswerLost decides by a key that was written
     */
    void loseAnswers(Predicate<String> isAnswerLost) {
        mIsAnswerLost = isAnswerLost;
    }

    /** Returns the number of writes of the system that took effect. */
    synchronized long commits() {
        return mCommits;
    }

    /** Returns the value of a key, empty if there is none. */
    synchronized String value(String key) {
        Item item = mItems.get(key);
        return item == null ? "" : new String(item.value, StandardCharsets.UTF_8);
    }

    /** Writes a key as an operator, a trainer or a worker does. */
    synchronized void put(String key, Object value) {
        try {
            apply(key, JSON.writeValueAsBytes(value), 0, ++mRevision);
            notifyAll();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void delete(String key) {
        remove(key, ++mRevision);
        notifyAll();
    }

    private void apply(String key, byte[] value, long lease, long revision) {
        Item previous = mItems.get(key);
        long created = previous == null ? revision : previous.created;
        Item item = new Item(key, value, revision, created, lease);
        mItems.put(key, item);
        mHistory.add(item);
    }

    private void remove(String key, long revision) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Item(key, null, revision, 0, 0));
        }
    }

    private void expireForever() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            expire();
        }
    }

    private synchronized void expire() {
        long nowMs = nowMs();
        for (Map.Entry<Long, Lease> entry : List.copyOf(mLeases.entrySet())) {
            if (nowMs >= entry.getValue().untilMs) {
                end(entry.getKey());
            }
        }
        while (!mHistory.isEmpty() && nowMs - mHistory.get(0).atMs > HISTORY_MS) {
            mHistoryFrom = mHistory.remove(0).revision;
        }
    }

    private boolean end(long lease) {
        if (mLeases.remove(lease) == null) {
            return false;
        }
        long revision = ++mRevision;
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease == lease) {
                remove(item.key, revision);
            }
        }
        notifyAll();
        return true;
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        Map<String, Object> body = new LinkedHashMap<>();
        int status = call(request, target[0], query, body);
        if (status == LOST) {
            // Nothing further is answered on this connection.
            Thread.sleep(SILENCE_MS);
            throw new IOException("the answer was lost");
        }
        connection.write(
                Http.response(
                        status,
                        Map.of("Content-Type", "application/json"),
                        JSON.writeValueAsBytes(body)));
    }

    private int call(
            Http.Message request, String path, Map<String, String> query, Map<String, Object> body)
            throws Exception {
        if (path.equals("/-/kv-key")) {
            return get(query.get("key"), body);
        } else if (path.equals("/-/kv-range")) {
            return range(query.get("prefix"), query.getOrDefault("after", ""), body);
        } else if (path.equals("/-/kv-watch")) {
            return watch(
                    query.get("prefix"),
                    Long.parseLong(query.get("after")),
                    nowMs() + Long.parseLong(query.get("wait_ms")),
                    body);
        } else if (path.equals("/-/kv-txn")) {
            return commit(JSON.readTree(request.body), body);
        } else if (path.equals("/-/kv-lease")) {
            return grant(JSON.readTree(request.body).path("ttl_ms").asLong(), body);
        } else if (path.startsWith("/-/kv-keep/")) {
            return renew(Long.parseLong(path.substring("/-/kv-keep/".length())), body);
        } else if (path.startsWith("/-/kv-lease-end/")) {
            synchronized (this) {
                return end(Long.parseLong(path.substring("/-/kv-lease-end/".length()))) ? 200 : 404;
            }
        }
        return 404;
    }

    private synchronized int get(String key, Map<String, Object> body) {
        Item item = mItems.get(key);
        if (item == null) {
            return 404;
        }
        body.putAll(json(item));
        body.put("as_of", mRevision);
        return 200;
    }

    private synchronized int range(String prefix, String after, Map<String, Object> body) {
        List<Map<String, Object>> items = new ArrayList<>();
        boolean hasMore = false;
        long bytes = 0;
        for (Item item : mItems.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (item.key.compareTo(after) <= 0) {
                continue;
            }
            bytes += item.value.length;
            if (!items.isEmpty() && (items.size() >= PAGE_ITEMS || bytes > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            items.add(json(item));
        }
        body.put("items", items);
        body.put("has_more", hasMore);
        body.put("as_of", mRevision);
        return 200;
    }

    private synchronized int watch(
            String prefix, long after, long untilMs, Map<String, Object> body)
            throws InterruptedException {
        while (true) {
            if (after < mHistoryFrom) {
                return 410;
            }
            List<Map<String, Object>> events = new ArrayList<>();
            for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).revision > after; i--) {
                if (mHistory.get(i).key.startsWith(prefix)) {
                    events.add(0, json(mHistory.get(i)));
                }
            }
            long leftMs = untilMs - nowMs();
            if (!events.isEmpty() || leftMs <= 0) {
                body.put("events", events);
                body.put("as_of", mRevision);
                return 200;
            }
            wait(leftMs);
        }
    }

    private synchronized int commit(JsonNode change, Map<String, Object> body) {
        int entries =
                change.path("expected").size()
                        + change.path("writes").size()
                        + change.path("deletes").size();
        List<Map<String, Object>> failed = new ArrayList<>();
        for (JsonNode row : change.path("expected")) {
            Item item = mItems.get(row.path("key").asText());
            if ((item == null ? 0 : item.revision) != row.path("revision").asLong()) {
                if (item != null) {
                    failed.add(json(item));
                }
                body.put("items", failed);
                return 412;
            }
        }
        for (JsonNode row : change.path("writes")) {
            long lease = row.path("lease").asLong(0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
            if (value(row).length > MAX_VALUE_BYTES) {
                return 400;
            }
        }
        if (entries > MAX_ENTRIES) {
            return 400;
        }
        long revision = ++mRevision;
        for (JsonNode row : change.path("writes")) {
            apply(row.path("key").asText(), value(row), row.path("lease").asLong(0), revision);
        }
        change.path("deletes").forEach(row -> remove(row.asText(), revision));
        notifyAll();
        body.put("revision", revision);
        mCommits++;
        for (JsonNode row : change.path("writes")) {
            if (mIsAnswerLost.test(row.path("key").asText())) {
                return LOST;
            }
        }
        return 200;
    }

    private static byte[] value(JsonNode row) {
        return Base64.getDecoder().decode(row.path("value").asText());
    }

    private synchronized int grant(long ttlMs, Map<String, Object> body) {
        mLeases.put(++mNextLease, new Lease(ttlMs));
        body.put("lease", mNextLease);
        body.put("ttl_ms", ttlMs);
        return 200;
    }

    private synchronized int renew(long id, Map<String, Object> body) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return 404;
        }
        lease.untilMs = nowMs() + lease.ttlMs;
        body.put("ttl_ms", lease.ttlMs);
        return 200;
    }

    private static Map<String, Object> json(Item item) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("key", item.key);
        json.put("revision", item.revision);
        if (item.value == null) {
            json.put("deleted", true);
            return json;
        }
        json.put("value", Base64.getEncoder().encodeToString(item.value));
        json.put("created", item.created);
        json.put("lease", item.lease);
        return json;
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
