package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of a client account.
 *
 * @param value the text of the identifier
 */
public record AccountId(@JsonValue String value) implements Comparable<AccountId> {

    /** Checks that the text is not null. */
    public AccountId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static AccountId of(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
