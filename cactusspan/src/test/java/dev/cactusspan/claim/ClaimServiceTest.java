package dev.cactusspan.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.result.ErrorKind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests claims under lost responses, failures, concurrent entry processes and entry processes that
 * die.
 */
final class ClaimServiceTest {
    private static final EnvironmentId ENVIRONMENT = EnvironmentId.of("e");
    private static final long RUNS_MS = 1_000;
    private static final long TTL_MS = 1_000_000;

    private long mNowMs = 1;

    private ClaimService service(FakeKeyValues keyValues, String name) {
        return new ClaimService(
                ENVIRONMENT, keyValues, Runnable::run, () -> mNowMs, Telemetry.create(), name);
    }

    private static ClaimKey key(int number) {
        return ClaimKey.of(AccountId.of("a"), RouteId.of("r"), "key-" + number);
    }

    private static StoredResponse response(String text) {
        return new StoredResponse(200, "", text.getBytes(StandardCharsets.UTF_8), false);
    }

    private void settle(FakeKeyValues keyValues, ClaimService... services) {
        for (int i = 0; i < 100; i++) {
            mNowMs += 5;
            while (keyValues.step()) {
                // Each step executes one call.
            }
            for (ClaimService service : services) {
                service.tick();
            }
        }
    }

    @Property(seed = "11", tries = 400)
    void shouldGrantEachKeyAtMostOnceUnderFailures(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValues keyValues = new FakeKeyValues(random);
        keyValues.faults(0.2, 0.2);
        List<ClaimService> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(service(keyValues, "entry-" + i));
        }
        Map<Integer, Integer> grants = new HashMap<>();
        for (int round = 0; round < 200; round++) {
            mNowMs += random.nextInt(300);
            int entry = random.nextInt(entries.size());
            if (random.nextInt(4) == 0) {
                int number = random.nextInt(6);
                entries.get(entry)
                        .acquire(
                                key(number),
                                "digest",
                                RUNS_MS,
                                TTL_MS,
                                outcome -> {
                                    if (outcome instanceof ClaimOutcome.Granted) {
                                        grants.merge(number, 1, Integer::sum);
                                    }
                                });
            }
            if (random.nextInt(50) == 0) {
                entries.set(entry, service(keyValues, "entry-" + entry + "-" + round));
            }
            keyValues.step();
            entries.forEach(ClaimService::tick);
        }
        keyValues.faults(0, 0);
        settle(keyValues, entries.toArray(ClaimService[]::new));
        grants.values().forEach(count -> assertThat(count, lessThanOrEqualTo(1)));
    }

    @Property(seed = "12", tries = 300)
    void shouldReturnOnlyFirstResponseToRepeatedRequest(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValues keyValues = new FakeKeyValues(random);
        ClaimService first = service(keyValues, "first");
        ClaimService second = service(keyValues, "second");
        List<ClaimOutcome> outcomes = new ArrayList<>();
        first.acquire(
                key(1),
                "digest",
                RUNS_MS,
                TTL_MS,
                outcome -> {
                    outcomes.add(outcome);
                    String token = ((ClaimOutcome.Granted) outcome).token();
                    first.complete(key(1), token, response("one"));
                    first.complete(key(1), token, response("two"));
                });
        settle(keyValues, first, second);
        second.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, first, second);
        assertThat(outcomes.get(1), instanceOf(ClaimOutcome.Repeated.class));
        byte[] body = ((ClaimOutcome.Repeated) outcomes.get(1)).response().body();
        assertThat(new String(body, StandardCharsets.UTF_8), is("one"));
    }

    @Test
    void shouldRefuseTheSameKeyWithAnotherRequest() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        ClaimService service = service(keyValues, "s");
        List<ClaimOutcome> outcomes = new ArrayList<>();
        service.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, service);
        service.acquire(key(1), "other", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, service);
        assertThat(kind(outcomes.get(1)), is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
    }

    @Test
    void shouldReportInProgressUntilMaxRunTimeThenUnknown() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        ClaimService dead = service(keyValues, "dead");
        ClaimService live = service(keyValues, "live");
        List<ClaimOutcome> outcomes = new ArrayList<>();
        dead.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcome -> {});
        settle(keyValues, dead);
        live.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, live);
        mNowMs += RUNS_MS + 1;
        live.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, live);
        assertThat(kind(outcomes.get(0)), is(ErrorKind.CLAIM_IN_PROGRESS));
        assertThat(outcomes.get(1), instanceOf(ClaimOutcome.Unknown.class));
    }

    @Test
    void shouldRefuseClaimDuringOutageAndReleaseKeyAfterwards() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        ClaimService service = service(keyValues, "s");
        List<ClaimOutcome> outcomes = new ArrayList<>();
        service.acquire(key(1), "digest", RUNS_MS, TTL_MS, outcome -> {});
        settle(keyValues, service);
        keyValues.faults(1.0, 0);
        service.acquire(key(2), "digest", RUNS_MS, TTL_MS, outcomes::add);
        keyValues.step();
        keyValues.step();
        keyValues.step();
        // The refusal must be of a kind that proves that the request has not run.
        assertThat(kind(outcomes.get(0)), is(ErrorKind.CLAIM_UNAVAILABLE));
        keyValues.faults(0, 0);
        for (int i = 0; i < 5; i++) {
            mNowMs += 1_000;
            settle(keyValues, service);
        }
        service.acquire(key(2), "digest", RUNS_MS, TTL_MS, outcomes::add);
        settle(keyValues, service);
        assertThat(outcomes.get(1), instanceOf(ClaimOutcome.Granted.class));
    }

    @Property(seed = "13", tries = 300)
    void shouldFreeEachKeyWhoseClaimWasRefused(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValues keyValues = new FakeKeyValues(random);
        keyValues.faults(0.1, 0.3);
        keyValues.lateEffects(0.3);
        ClaimService service = service(keyValues, "s");
        Set<Integer> refused = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            int number = i;
            service.acquire(
                    key(number),
                    "digest",
                    RUNS_MS,
                    TTL_MS,
                    outcome -> {
                        if (outcome instanceof ClaimOutcome.Refused) {
                            refused.add(number);
                        }
                    });
            for (int j = 0; j < 5; j++) {
                mNowMs += random.nextInt(300);
                keyValues.step();
                service.tick();
            }
        }
        keyValues.faults(0, 0);
        keyValues.lateEffects(0);
        settle(keyValues, service);
        settle(keyValues, service);
        List<ClaimOutcome> outcomes = new ArrayList<>();
        refused.forEach(n -> service.acquire(key(n), "digest", RUNS_MS, TTL_MS, outcomes::add));
        settle(keyValues, service);
        assertThat(outcomes, hasSize(refused.size()));
        assertThat(outcomes, everyItem(instanceOf(ClaimOutcome.Granted.class)));
    }

    @Test
    void shouldGroupClaimsIntoFewWrites() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        ClaimService service = service(keyValues, "s");
        int[] granted = {0};
        for (int i = 0; i < 1_000; i++) {
            service.acquire(key(i), "digest", RUNS_MS, TTL_MS, outcome -> granted[0]++);
            if (i % 250 == 0) {
                settle(keyValues, service);
            }
        }
        settle(keyValues, service);
        assertThat(granted[0], is(1_000));
        assertThat(keyValues.writes(), greaterThan(0));
        assertThat(keyValues.writes(), lessThan(1_000 / 2));
    }

    private static ErrorKind kind(ClaimOutcome outcome) {
        return ((ClaimOutcome.Refused) outcome).failure().kind();
    }
}
