package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The fencing number of a duty lease; higher is later.
 *
 * @param number the number, zero for none
 */
public record FencingNumber(@JsonValue long number) implements Comparable<FencingNumber> {

    /** None yet. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /** Checks the number. */
    public FencingNumber {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative");
        }
    }

    /**
     * Returns the value with the given number.
     *
     * @param number the number, zero for none
     * @return the value
     */
    @JsonCreator
    public static FencingNumber of(long number) {
        return new FencingNumber(number);
    }

    /**
     * Tells whether this one is higher than another.
     *
     * @param other the other one
     * @return true if this is strictly higher
     */
    public boolean isAfter(FencingNumber other) {
        return number > other.number;
    }

    /**
     * Returns the one that follows this one.
     *
     * @return the successor
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
