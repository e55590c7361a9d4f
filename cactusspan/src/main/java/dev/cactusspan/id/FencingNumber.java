package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The fencing number of a duty lease; a higher number belongs to a later acquisition.
 *
 * @param number the number, zero for none
 */
public record FencingNumber(@JsonValue long number) implements Comparable<FencingNumber> {

    /** No fencing number has been issued. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /** Checks that the number is not negative. */
    public FencingNumber {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative");
        }
    }

    /**
     * Returns the fencing number with the given number.
     *
     * @param number the number, zero for none
     * @return the fencing number
     */
    @JsonCreator
    public static FencingNumber of(long number) {
        return new FencingNumber(number);
    }

    /**
     * Returns whether this fencing number is higher than another.
     *
     * @param other the fencing number to compare with
     * @return true if this is strictly higher
     */
    public boolean isAfter(FencingNumber other) {
        return number > other.number;
    }

    /**
     * Returns the next fencing number.
     *
     * @return the fencing number that follows this one
     */
    public FencingNumber next() {
        return new FencingNumber(number + 1);
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
