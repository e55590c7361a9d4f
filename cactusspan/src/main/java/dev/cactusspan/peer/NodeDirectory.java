package dev.cactusspan.peer;

import com.google.common.hash.Hashing;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.text.JsonText;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Lists the processes of the system that hold a lease, including this one. */
public final class NodeDirectory {

    /** Prefix of the keys under which processes register; followed by the VM. */
    public static final String PREFIX = "cs/control/node/";

    /** Subject of the choice of the process that takes over what others abandoned. */
    public static final String SWEEPER = "sweep";

    /** Maximum number of remembered choices; there is one for each duty and limited target. */
    private static final int MAX_CHOSEN = 4_096;

    private final Map<String, NodeRecord> mNodes = new HashMap<>();

    /** Choices since the last change; duties ask for theirs at each tick. */
    private final Map<String, Optional<String>> mChosen = new HashMap<>();

    /** Addresses of all processes seen, as one whose lease has ended may still ask. */
    private final Set<String> mAddresses = new HashSet<>();

    /**
     * Applies a change of a process's key.
     *
     * @param key the key
     * @param item the new item, empty if the key was removed
     */
    public void changed(String key, Optional<StoredItem> item) {
        Optional<NodeRecord> node =
                item.flatMap(
                        i ->
                                JsonText.read(i.value(), NodeRecord.class)
                                        .fold(f -> Optional.empty(), Optional::of));
        node.ifPresent(n -> mAddresses.add(n.ip()));
        node.ifPresentOrElse(n -> mNodes.put(key, n), () -> mNodes.remove(key));
        mChosen.clear();
        Decision.of(node.isPresent() ? "node_seen" : "node_gone")
                .with("node", node.map(NodeRecord::owner).orElse(key))
                .with("nodes", mNodes.size())
                .info();
    }

    /**
     * Finds a process by its owner name.
     *
     * @param owner VM and boot
     * @return the process, empty if it holds no lease
     */
    public Optional<NodeRecord> find(String owner) {
        return mNodes.values().stream().filter(n -> n.owner().equals(owner)).findFirst();
    }

    /**
     * Returns whether an address belongs to a process of the system. While no process is known,
     * each address may.
     *
     * @param ip the address
     * @return true if a process is or was registered there
     */
    public boolean isKnownAddress(String ip) {
        return mAddresses.isEmpty() || mAddresses.contains(ip);
    }

    /**
     * Chooses a process for a subject by rendezvous hashing, leaving out processes that are about
     * to stop. Callers that see the same processes choose the same one.
     *
     * @param subject the subject
     * @return the owner name, empty if no process is available
     */
    public Optional<String> choose(String subject) {
        if (mChosen.size() >= MAX_CHOSEN) {
            mChosen.clear();
        }
        return mChosen.computeIfAbsent(subject, s -> choose(s, node -> true));
    }

    /**
     * Chooses a process for a subject among some of them. The process chosen among all of several
     * regions is also the one chosen among those of its own region.
     *
     * @param subject the subject
     * @param filter selects among the processes
     * @return the owner name, empty if no process is available
     */
    public Optional<String> choose(String subject, Predicate<NodeRecord> filter) {
        String best = "";
        long bestScore = Long.MIN_VALUE;
        for (NodeRecord node : mNodes.values()) {
            if (node.isLeaving() || !filter.test(node)) {
                continue;
            }
            long score = score(subject, node.owner());
            if (best.isEmpty() || score > bestScore) {
                best = node.owner();
                bestScore = score;
            }
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(best);
    }

    private static long score(String subject, String owner) {
        return Hashing.murmur3_128()
                .hashString(subject + "/" + owner, StandardCharsets.UTF_8)
                .asLong();
    }

    /**
     * Lists the processes.
     *
     * @return all processes that hold a lease
     */
    public Collection<NodeRecord> all() {
        return mNodes.values();
    }
}
