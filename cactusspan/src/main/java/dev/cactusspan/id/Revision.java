package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The revision of an environment document; a higher number is newer.
 *
 * @param number the number, zero for none
 */
public record Revision(@JsonValue long number) implements Comparable<Revision> {

    /** No revision is known. */
    public static final Revision NONE = new Revision(0);

    /** Checks that the number is not negative. */
    public Revision {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative");
        }
    }

    /**
     * Returns the revision with the given number.
     *
     * @param number the number, zero for none
     * @return the revision
     */
    @JsonCreator
    public static Revision of(long number) {
        return new Revision(number);
    }

    /**
     * Returns whether this revision is higher than another.
     *
     * @param other the revision to compare with
     * @return true if this is strictly higher
     */
    public boolean isAfter(Revision other) {
        return number > other.number;
    }

    /**
     * Returns the next revision.
     *
     * @return the revision that follows this one
     */
    public Revision next() {
        return new Revision(number + 1);
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
