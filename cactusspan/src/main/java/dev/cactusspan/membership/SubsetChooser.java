package dev.cactusspan.membership;

import java.util.List;

/**
 * Selects the entries that connect to a target by rendezvous hashing. Each target gets the same
 * number of entries, so that none is left without, and a change of one VM moves few links. Entries
 * in the target's own availability zone are preferred for half of the links. The rest are selected
 * from all zones, so that each target stays reachable when a zone is lost.
 */
public final class SubsetChooser {
    private final int mLinksPerTarget;

    /**
     * Creates a chooser.
     *
     * @param linksPerTarget maximum number of entries that connect to one target
     */
    public SubsetChooser(int linksPerTarget) {
        mLinksPerTarget = linksPerTarget;
    }

    /**
     * Returns whether an entry connects to a target.
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
        boolean isSameZone = entry.zone().equals(target.zone());
        String key = target.vm().value();
        int sameZoneLinks = mLinksPerTarget / 2;
        if (isSameZone
                && Rendezvous.rank(key, entry.vm(), inZoneOf(target, entries)) < sameZoneLinks) {
            return true;
        }
        return Rendezvous.rank(key, entry.vm(), entries) < mLinksPerTarget - sameZoneLinks;
    }

    private static List<VmRecord> inZoneOf(VmRecord target, List<VmRecord> entries) {
        return entries.stream().filter(e -> e.zone().equals(target.zone())).toList();
    }
}
