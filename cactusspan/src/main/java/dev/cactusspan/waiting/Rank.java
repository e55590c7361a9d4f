package dev.cactusspan.waiting;

import java.util.Comparator;

/**
 * The rank that operators give to work: the priority of its client account goes before that of its
 * route. Zero is the highest of both.
 *
 * @param accountPriority priority of the client account
 * @param routePriority priority of the route
 */
public record Rank(int accountPriority, int routePriority) implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
            Comparator.comparingInt(Rank::accountPriority).thenComparingInt(Rank::routePriority);

    @Override
    public int compareTo(Rank other) {
        return ORDER.compare(this, other);
    }
}
