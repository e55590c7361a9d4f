package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.BodyCollector;
import dev.cactusspan.intake.Hold;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.junit.jupiter.api.Test;

final class BatchParserTest {
    private final MemoryBudget mBudget = MemoryBudget.ofHeap(92L << 20);

    private Body body(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        BodyCollector collector = new BodyCollector(bytes.length);
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            ByteBuffer room = collector.room();
            int count = Math.min(room.remaining(), left.remaining());
            room.put(left.slice(left.position(), count));
            left.position(left.position() + count);
            collector.added(count);
        }
        Hold hold = mBudget.reserve(bytes.length).orElseThrow();
        return collector.take(hold);
    }

    private static String batch(String item, int items) {
        StringBuilder text = new StringBuilder("{\"items\":[");
        for (int i = 0; i < items; i++) {
            text.append(i == 0 ? "" : ",").append(item.replace("%", Integer.toString(i)));
        }
        return text.append("]}").toString();
    }

    @Test
    void shouldRefuseABatchOfVeryManyShortItemsAsNotRun() {
        Body body = body(batch("{\"id\":\"%\",\"path\":\"/\"}", 200_000));
        Result<BatchParser.Parsed> result = BatchParser.parse(body);
        assertThat(result.fold(f -> f.kind(), p -> ErrorKind.INTERNAL), is(ErrorKind.OVERLOADED));
        assertThat(result.fold(f -> f.isNotRun(), p -> false), is(true));
        body.hold().close();
        assertThat(mBudget.heldBytes(), is(0L));
    }

    @Test
    void shouldHoldLessForALargeBatchOnceItIsParsed() {
        String data = Base64.getEncoder().encodeToString(new byte[100_000]);
        Body body = body(batch("{\"id\":\"%\",\"path\":\"/\",\"body\":\"" + data + "\"}", 150));
        Result<BatchParser.Parsed> result = BatchParser.parse(body);
        assertThat(result.get().items(), hasSize(150));
        assertThat(result.get().items().get(149).body().length, is(100_000));
        assertThat(body.hold().bytes(), is(greaterThan(150L * 100_000)));
        assertThat(body.hold().bytes(), is(lessThan(body.length())));
    }

    @Test
    void shouldRefuseWhatFollowsTheBatch() {
        Result<BatchParser.Parsed> result =
                BatchParser.parse(body("{\"items\":[{\"id\":\"a\",\"path\":\"/\"}]} {}"));
        assertThat(result.fold(f -> f.kind(), p -> ErrorKind.INTERNAL), is(ErrorKind.BAD_REQUEST));
    }
}
