package dev.cactusspan.membership;

import com.google.common.hash.Hashing;
import dev.cactusspan.id.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses which entries connect to a target, by rendezvous hashing. Each target gets the same
 * number of entries, so that none is left out, and a change of one VM moves few links. Entries in
 * the target's own availability zone are preferred for half of the links; the rest come from all
 * zones, so that losing a zone leaves each target reachable.
 */
public final class SubsetChooser {
    private final int mLinksPerTarget;

    /**
     * Creates a chooser.
     *
     * @param linksPerTarget entries that connect to one target
     */
    public SubsetChooser(int linksPerTarget) {
        mLinksPerTarget = linksPerTarget;
    }

    /**
     * Tells whether an entry connects to a target.
     *
     * @param entry the entry
     * @param target the target
     * @param entries all live entries
     * @return true if it connects
     */
    public boolean isChosen(VmRecord entry, VmRecord target, List<VmRecord> entries) {
        if (entries.size() <= mLinksPerTarget) {
            return true;
        }
        boolean isNear = entry.zone().equals(target.zone());
        if (isNear && rank(entry, target, near(target, entries)) < mLinksPerTarget / 2) {
            return true;
        }
        return rank(entry, target, entries) < mLinksPerTarget - mLinksPerTarget / 2;
    }

    private static List<VmRecord> near(VmRecord target, List<VmRecord> entries) {
        return entries.stream().filter(e -> e.zone().equals(target.zone())).toList();
    }

    private static long rank(VmRecord entry, VmRecord target, List<VmRecord> entries) {
        long own = score(entry.vm(), target.vm());
        return entries.stream()
                .filter(e -> !e.vm().equals(entry.vm()))
                .filter(e -> isBefore(score(e.vm(), target.vm()), e.vm(), own, entry.vm()))
                .count();
    }

    private static boolean isBefore(long score, VmId vm, long otherScore, VmId otherVm) {
        if (score != otherScore) {
            return score > otherScore;
        }
        return Comparator.<VmId>naturalOrder().compare(vm, otherVm) < 0;
    }

    private static long score(VmId entry, VmId target) {
        return Hashing.murmur3_128()
                .hashString(entry + "/" + target, StandardCharsets.UTF_8)
                .asLong();
    }
}
