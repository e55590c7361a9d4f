package dev.cactusspan.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Shares, eviction and starvation in the fair queue. */
final class FairQueueTest {
    private static QueuedItem<Integer> item(String account, RequestClass type, int weight) {
        return new QueuedItem<>(AccountId.of(account), type, weight, Long.MAX_VALUE, 0);
    }

    @Property(seed = "61")
    void shouldServeBackloggedAccountsByWeight(
            @ForAll @IntRange(min = 1, max = 8) int weightA,
            @ForAll @IntRange(min = 1, max = 8) int weightB) {
        FairQueue<Integer> queue = new FairQueue<>(10_000);
        for (int i = 0; i < 500; i++) {
            queue.add(item("a", RequestClass.INTERACTIVE, weightA));
        }
        for (int i = 0; i < 500; i++) {
            queue.add(item("b", RequestClass.INTERACTIVE, weightB));
        }
        Map<AccountId, Integer> served = new HashMap<>();
        int rounds = 40 * (weightA + weightB);
        for (int i = 0; i < Math.min(rounds, 500); i++) {
            served.merge(queue.poll(q -> true).orElseThrow().account(), 1, Integer::sum);
        }
        double expected = (double) Math.min(rounds, 500) * weightA / (weightA + weightB);
        double deviation = Math.abs(served.get(AccountId.of("a")) - expected);
        assertThat(deviation, lessThanOrEqualTo(2.0));
    }

    @Test
    void shouldNotLetAFloodDelayAnotherAccount() {
        FairQueue<Integer> queue = new FairQueue<>(10_000);
        for (int i = 0; i < 5_000; i++) {
            queue.add(item("flood", RequestClass.INTERACTIVE, 1));
        }
        queue.poll(q -> true);
        queue.add(item("small", RequestClass.INTERACTIVE, 1));
        int before = 0;
        while (!queue.poll(q -> true).orElseThrow().account().value().equals("small")) {
            before++;
        }
        assertThat(before, lessThanOrEqualTo(2));
    }

    @Test
    void shouldEvictFromTheLongestQueueWhenFull() {
        FairQueue<Integer> queue = new FairQueue<>(10);
        for (int i = 0; i < 10; i++) {
            queue.add(item("flood", RequestClass.INTERACTIVE, 1));
        }
        Optional<QueuedItem<Integer>> evicted =
                queue.add(item("small", RequestClass.INTERACTIVE, 1));
        assertThat(evicted.orElseThrow().account(), is(AccountId.of("flood")));
        assertThat(queue.size(), is(10));
    }

    @Test
    void shouldServeRolloutsLessThanCallersButNeverStarveThem() {
        FairQueue<Integer> queue = new FairQueue<>(10_000);
        for (int i = 0; i < 1_000; i++) {
            queue.add(item("trainer", RequestClass.ROLLOUT, 1));
            queue.add(item("caller", RequestClass.INTERACTIVE, 1));
        }
        int rollouts = 0;
        for (int i = 0; i < 340; i++) {
            RequestClass type = queue.poll(q -> true).orElseThrow().requestClass();
            rollouts += type == RequestClass.ROLLOUT ? 1 : 0;
        }
        assertThat(rollouts, greaterThan(10));
        assertThat(rollouts, lessThanOrEqualTo(30));
    }
}
