package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.TextEvent;
import dev.cactusspan.id.WeightVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests decoding of events that are split at any byte. */
final class PlatformEventsTest {
    private static final String CRLF_EVENT = "id: 3\r\ndata: d\r\n\r\n";
    private static final String STREAM =
            "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata: c\n\n" + CRLF_EVENT;
    private static final List<TextEvent> EVENTS =
            List.of(
                    new TextEvent(1, "a", WeightVersion.NONE),
                    new TextEvent(2, "b\nc", WeightVersion.of(3)),
                    new TextEvent(3, "d", WeightVersion.NONE));

    @Property(seed = "91", tries = 200)
    void shouldDecodeEventsSplitAnywhere(@ForAll long seed) {
        Random random = new Random(seed);
        PlatformEvents reader = new PlatformEvents();
        List<TextEvent> events = new ArrayList<>();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        int from = 0;
        while (from < bytes.length) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(7));
            events.addAll(reader.feed(java.util.Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
        assertThat(events, is(EVENTS));
        assertThat(reader.isInsideEvent(), is(false));
    }

    @Test
    void shouldReportAnUnfinishedEvent() {
        PlatformEvents reader = new PlatformEvents();
        reader.feed("id: 1\nda".getBytes(StandardCharsets.UTF_8));
        assertThat(reader.isInsideEvent(), is(true));
    }

    @Test
    void shouldDropAnEventWithAMalformedNumber() {
        PlatformEvents reader = new PlatformEvents();
        List<TextEvent> events =
                reader.feed("id: 1x\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(events, is(List.of()));
    }
}
