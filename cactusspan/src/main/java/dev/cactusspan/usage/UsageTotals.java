package dev.cactusspan.usage;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AccountId;
import java.util.Map;
import java.util.TreeMap;

/**
 * Usage totals by client account.
 *
 * @param accounts usage by account
 */
public record UsageTotals(Map<AccountId, AccountUsage> accounts) {

    /** No usage. */
    public static final UsageTotals EMPTY = new UsageTotals(Map.of());

    /** Replaces an absent map with an empty one. */
    @JsonCreator
    public UsageTotals(@JsonProperty("accounts") Map<AccountId, AccountUsage> accounts) {
        this.accounts = accounts == null ? Map.of() : new TreeMap<>(accounts);
    }

    /**
     * Returns these totals plus the usage of one account.
     *
     * @param account the account
     * @param usage the usage
     * @return the totals
     */
    public UsageTotals plus(AccountId account, AccountUsage usage) {
        Map<AccountId, AccountUsage> sum = new TreeMap<>(accounts);
        sum.merge(account, usage, AccountUsage::plus);
        return new UsageTotals(sum);
    }

    /**
     * Returns the sum of these totals and others.
     *
     * @param other the other totals
     * @return the sum
     */
    public UsageTotals plus(UsageTotals other) {
        Map<AccountId, AccountUsage> sum = new TreeMap<>(accounts);
        other.accounts.forEach((account, usage) -> sum.merge(account, usage, AccountUsage::plus));
        return new UsageTotals(sum);
    }

    /**
     * Returns the difference of these totals and others, without accounts whose usage is equal.
     *
     * @param other the other totals
     * @return the difference
     */
    public UsageTotals minus(UsageTotals other) {
        Map<AccountId, AccountUsage> difference = new TreeMap<>();
        accounts.forEach(
                (account, usage) -> {
                    AccountUsage before = other.accounts.getOrDefault(account, AccountUsage.NONE);
                    AccountUsage since = usage.minus(before);
                    if (!since.isEmpty()) {
                        difference.put(account, since);
                    }
                });
        return new UsageTotals(difference);
    }
}
