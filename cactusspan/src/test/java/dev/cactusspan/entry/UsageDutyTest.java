package dev.cactusspan.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.DocumentStore;
import dev.cactusspan.config.Stage;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.platform.UsageInterface;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.usage.AccountUsage;
import dev.cactusspan.usage.UsageReport;
import dev.cactusspan.usage.UsageTotals;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests usage windows while two processes both believe they hold the duty and responses are lost.
 */
final class UsageDutyTest {
    private static final AccountId ACCOUNT = AccountId.of("a");

    @Property(seed = "51", tries = 150)
    void shouldReportEachWindowConsistentlyAndLoseNoUsage(@ForAll long seed) {
        Random random = new Random(seed);
        EntryHarness.Clock clock = new EntryHarness.Clock();
        FakeKeyValues keyValues = new FakeKeyValues(random);
        EntryHarness.putDocument(keyValues);
        String documentKey = DocumentStore.key(EntryHarness.ENVIRONMENT, Stage.PRODUCTION);
        Configuration configuration =
                DocumentStore.decode(keyValues.peek(documentKey).orElseThrow())
                        .flatMap(Configuration::of)
                        .get();
        Map<Long, String> reports = new HashMap<>();
        UsageInterface usage = (report, fencing) -> acceptReport(report, reports, random);
        List<UsageDuty> duties = new ArrayList<>();
        List<UsageMeter> meters = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            duties.add(
                    new UsageDuty(
                            EntryHarness.ENVIRONMENT,
                            keyValues,
                            usage,
                            Runnable::run,
                            clock::nowMs,
                            () -> configuration));
            meters.add(
                    new UsageMeter(
                            EntryHarness.ENVIRONMENT,
                            "entry-" + i,
                            keyValues,
                            Runnable::run,
                            clock::nowMs));
        }
        keyValues.faults(0.1, 0.1);
        long counted = 0;
        for (int turn = 0; turn < 3_000; turn++) {
            boolean isCalm = turn > 2_000;
            if (isCalm) {
                keyValues.faults(0, 0);
            }
            if (!isCalm && random.nextInt(5) == 0) {
                meters.get(random.nextInt(2)).count(ACCOUNT, 10);
                counted++;
            }
            clock.advance(random.nextInt(2_000));
            meters.forEach(UsageMeter::tick);
            duties.forEach(d -> d.tick(() -> Optional.of(FencingNumber.of(1)), clock.nowMs()));
            keyValues.step();
            keyValues.step();
        }
        assertThat(meters.stream().allMatch(UsageMeter::isFlushed), is(true));
        UsageTotals sum = UsageTotals.EMPTY;
        for (String report : reports.values()) {
            byte[] bytes = report.getBytes(StandardCharsets.UTF_8);
            sum = sum.plus(JsonText.read(bytes, UsageReport.class).get().usage());
        }
        AccountUsage billed = sum.accounts().getOrDefault(ACCOUNT, AccountUsage.NONE);
        assertThat(billed, is(new AccountUsage(counted, counted * 10)));
    }

    /** Accepts a report and loses some of the responses. */
    private static CompletableFuture<Result<Boolean>> acceptReport(
            byte[] report, Map<Long, String> reports, Random random) {
        String text = new String(report, StandardCharsets.UTF_8);
        long window = JsonText.read(report, UsageReport.class).get().window();
        String before = reports.putIfAbsent(window, text);
        if (before != null) {
            assertThat("window " + window, text, is(before));
        }
        return CompletableFuture.completedFuture(Result.of(random.nextInt(4) != 0));
    }
}
