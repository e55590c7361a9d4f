package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.Gzip;
import dev.cactusspan.text.JsonText;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Prepares the encoding of what batches keep in the store. The first use of each type loads classes
 * and inspects its fields, a third of a second on a tenth of a core, which the first batch of a
 * process would wait for.
 */
public final class StoredFormats {
    private static final int MAX_BYTES = 1 << 20;

    private StoredFormats() {}

    /**
     * Encodes and decodes one value of each type.
     *
     * @return true if each value survived
     */
    public static boolean prepare() {
        Batch batch = sample();
        ItemResult result = new ItemResult(ItemId.of("i"), true, "t", List.of(), "s");
        return survives(batch, Batch.class)
                && survives(result, ItemResult.class)
                && survives(BatchOwnership.of(batch, "o"), BatchOwnership.class)
                && survives(ResultsView.of(1, List.of(result), 0), ResultsView.class);
    }

    private static <T> boolean survives(T value, Class<T> type) {
        Result<T> decoded =
                Gzip.decompress(Gzip.compress(JsonText.write(value)), MAX_BYTES)
                        .flatMap(bytes -> JsonText.read(bytes, type));
        return decoded.isOk();
    }

    private static Batch sample() {
        BatchItem item =
                new BatchItem(
                        ItemId.of("i"),
                        "/",
                        Map.of("n", "v"),
                        new byte[] {1},
                        1,
                        "g",
                        Optional.of(new BatchItem.Scorer("s", "h", "/", new byte[] {1})));
        return new Batch(
                BatchId.of("b"),
                AccountId.of("a"),
                RouteId.of("r"),
                "h",
                ServiceId.of("s"),
                0,
                ModelId.of("m"),
                WeightVersion.of(1),
                1,
                1,
                false,
                0,
                0,
                0,
                List.of(item));
    }
}
