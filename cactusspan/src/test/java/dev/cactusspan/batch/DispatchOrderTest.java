package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.ItemId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the dispatch order of the items of a batch. */
final class DispatchOrderTest {

    private static Batch batch(int wantedGroups, long... tokens) {
        Batch shape = BatchNode.batch("b", 1, 1, 0);
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < tokens.length; i++) {
            items.add(
                    new BatchItem(
                            ItemId.of("i" + i),
                            "/",
                            Map.of(),
                            new byte[0],
                            tokens[i],
                            "g" + i,
                            Optional.empty()));
        }
        return new Batch(
                shape.id(),
                shape.account(),
                shape.route(),
                shape.host(),
                shape.service(),
                0,
                shape.model(),
                shape.minVersion(),
                wantedGroups,
                3,
                false,
                0,
                0,
                0,
                items);
    }

    private static List<String> order(Batch batch) {
        return DispatchOrder.of(batch).stream().map(o -> o.item().id().value()).toList();
    }

    @Test
    void shouldRunTheLongestFirst() {
        assertThat(order(batch(3, 10, 30, 20)), is(List.of("i1", "i2", "i0")));
    }

    @Test
    void shouldDeferLongestSurplusGroup() {
        assertThat(order(batch(3, 10, 30, 20, 40)), is(List.of("i1", "i2", "i0", "i3")));
    }

    @Test
    void shouldNeverDeferFirstGroups() {
        assertThat(order(batch(3, 90, 80, 20, 40)), is(List.of("i0", "i1", "i2", "i3")));
    }
}
