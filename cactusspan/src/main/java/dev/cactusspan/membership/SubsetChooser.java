package dev.cactusspan.membership;

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
        String key = target.vm().value();
        int nearLinks = mLinksPerTarget / 2;
        if (isNear && Rendezvous.rank(key, entry.vm(), near(target, entries)) < nearLinks) {
            return true;
        }
        return Rendezvous.rank(key, entry.vm(), entries) < mLinksPerTarget - nearLinks;
    }

    private static List<VmRecord> near(VmRecord target, List<VmRecord> entries) {
        return entries.stream().filter(e -> e.zone().equals(target.zone())).toList();
    }
}
