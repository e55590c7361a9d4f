package dev.cactusspan.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Racing operators, lost replies and stale reads. */
final class DocumentStoreTest {
    private static final EnvironmentId ENVIRONMENT = EnvironmentId.of("kilimanjaro");

    private static String text() {
        try {
            return Files.readString(
                    Path.of(
                            System.getProperty("project.root", ".."),
                            "samples",
                            "kilimanjaro.json"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> Result<T> await(
            FakeKeyValues keyValues, CompletableFuture<Result<T>> future) {
        while (!future.isDone() && keyValues.step()) {
            // Each step carries out one call.
        }
        return future.join();
    }

    @Test
    void shouldReportTheCurrentRevisionOnAConflict() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        DocumentStore store = new DocumentStore(keyValues);
        assertThat(
                await(keyValues, store.put(ENVIRONMENT, text(), Revision.NONE)).isOk(), is(true));
        String other = text() + "\n// edited by another operator\n";
        Result<Revision> lost = await(keyValues, store.put(ENVIRONMENT, other, Revision.NONE));
        String detail = lost.fold(f -> f.toString(), r -> "accepted");
        assertThat(detail, containsString("conflict"));
        assertThat(detail, containsString("current revision is 1"));
    }

    @Test
    void shouldChangeNothingWhenADocumentIsRefused() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        DocumentStore store = new DocumentStore(keyValues);
        Result<Revision> refused =
                await(keyValues, store.put(ENVIRONMENT, "{\"environment\": 1}", Revision.NONE));
        assertThat(refused.fold(f -> f.kind(), r -> null), is(ErrorKind.BAD_REQUEST));
        assertThat(keyValues.writes(), is(0));
    }

    @Test
    void shouldDetectThatAWriteTookEffectWhenItsReplyWasLost() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        DocumentStore store = new DocumentStore(keyValues);
        CompletableFuture<Result<Revision>> put = store.put(ENVIRONMENT, text(), Revision.NONE);
        keyValues.faults(1.0, 0);
        keyValues.step();
        keyValues.faults(0, 0);
        assertThat(await(keyValues, put).get(), is(Revision.of(1)));
    }

    @Test
    void shouldPromoteOnlyTheTrialRevisionThatWasNamed() {
        FakeKeyValues keyValues = new FakeKeyValues(new Random(1));
        DocumentStore store = new DocumentStore(keyValues);
        await(keyValues, store.put(ENVIRONMENT, text(), Revision.NONE));
        await(keyValues, store.put(ENVIRONMENT, text() + "\n", Revision.of(1)));
        Result<Revision> old =
                await(keyValues, store.promote(ENVIRONMENT, Revision.of(1), Revision.NONE));
        assertThat(old.fold(f -> f.kind(), r -> null), is(ErrorKind.CONFLICT));
        Result<Revision> now =
                await(keyValues, store.promote(ENVIRONMENT, Revision.of(2), Revision.NONE));
        assertThat(now.get(), is(Revision.of(1)));
    }

    @Property(seed = "91", tries = 200)
    void shouldNeverReturnToAnOlderVersionAfterAStaleRead(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValues keyValues = new FakeKeyValues(random);
        keyValues.faults(0.2, 0.2);
        long[] nowMs = {0};
        List<Long> seen = new ArrayList<>();
        KeyWatcher watcher =
                new KeyWatcher(
                        keyValues,
                        "k",
                        Runnable::run,
                        new Backoff(10, 100, new SplittableRandom(seed)),
                        () -> nowMs[0],
                        entry -> seen.add(entry.version()));
        for (int i = 0; i < 300; i++) {
            nowMs[0] += random.nextInt(50);
            if (random.nextInt(10) == 0) {
                keyValues.put("k", new byte[] {(byte) i});
            }
            if (random.nextInt(10) == 0 && !seen.isEmpty()) {
                long older = seen.get(random.nextInt(seen.size()));
                watcher.accept(new KeyValueService.Entry(older, new byte[0]));
            }
            watcher.tick();
            keyValues.step();
        }
        for (int i = 1; i < seen.size(); i++) {
            assertThat(seen.get(i) > seen.get(i - 1), is(true));
        }
    }
}
