package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries of another writer among those of the targets that are taken for targets,
 * or that end the reading of the list.
 */
final class OddTargetEntryTest {
    private static final String SOUND =
            "{\"service\":\"lm\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":5,"
                    + "\"models\":[{\"name\":\"m\",\"version\":3}],\"sequence\":4}";

    /** Numbers that fit no field, in the ways in which a conversion may turn them into others. */
    private static final List<String> ODD_NUMBERS =
            List.of(
                    "-1",
                    "18446744073709551620",
                    "1e400",
                    "-1e400",
                    "1e99999",
                    "9".repeat(900),
                    "1.5",
                    "null",
                    "true",
                    "\"8\"",
                    "[8]",
                    "{}");

    private static Result<TargetRecord> read(String id, String text) {
        return PlatformReader.target("servers/" + id, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertRefused(String from, String to) {
        assertThat(SOUND.contains(from), is(true));
        assertThat(from + " -> " + to, read("i-1", SOUND.replace(from, to)).isOk(), is(false));
    }

    @Test
    void shouldTakeTheSoundEntry() {
        assertThat(read("i-1", SOUND).isOk(), is(true));
    }

    @Test
    void shouldRefuseAddressesThatNameNoTarget() {
        for (String address :
                List.of(
                        "10.0.0.9:0",
                        "10.0.0.9:65536",
                        "10.0.0.9:99999",
                        "10.0.0.9:-1",
                        "10.0.0.9:+80",
                        "10.0.0.9:080",
                        "10.0.0.9:",
                        ":8080",
                        "10.0.0.9",
                        "10.0.0.256:8080",
                        "10.0.9:8080",
                        "010.0.0.9:8080",
                        "1:8080",
                        "0.0.0.0:8080",
                        "255.255.255.255:8080",
                        "224.0.0.1:8080",
                        "some.host:8080",
                        "a b:8080",
                        "10.0.0.9/x:8080",
                        "u@10.0.0.9:8080",
                        "[::1]:8080",
                        "http://10.0.0.9:8080",
                        "10.0.0.9:8080\\r\\nX: y",
                        "")) {
            assertRefused("\"10.0.0.9:8080\"", "\"" + address + "\"");
        }
    }

    @Test
    void shouldRefuseNumbersThatDoNotFit() {
        for (String number : ODD_NUMBERS) {
            assertRefused("\"slots\":8", "\"slots\":" + number);
            assertRefused("\"sequence\":4", "\"sequence\":" + number);
        }
        for (String number : List.of("-1", "18446744073709551620", "1.5", "\"5\"", "{}")) {
            assertRefused("\"born\":5", "\"born\":" + number);
            assertRefused("\"version\":3", "\"version\":" + number);
        }
        for (String number : List.of("-1", "1e400", "18446744073709551620", "\"5\"", "[]")) {
            assertRefused("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":" + number);
        }
        assertRefused("\"slots\":8", "\"slots\":0");
        assertRefused("\"slots\":8", "\"slots\":4294967304");
    }

    @Test
    void shouldRefuseFieldsOfAnotherType() {
        for (String value : List.of("1", "null", "[]", "{}", "\"\"")) {
            assertRefused("\"lm\"", value);
            assertRefused("\"ready\"", value);
            assertRefused("\"a\"", value);
            assertRefused("\"v1\"", value);
        }
        assertRefused("[{\"name\":\"m\",\"version\":3}]", "{\"name\":\"m\"}");
        assertRefused("[{\"name\":\"m\",\"version\":3}]", "[3]");
        assertRefused("\"name\":\"m\"", "\"name\":7");
    }

    @Test
    void shouldRefuseDeepNestingAndForeignBytes() {
        String deep = "[".repeat(50_000) + "]".repeat(50_000);
        assertRefused("\"sequence\":4", "\"sequence\":4,\"more\":" + deep);
        String objects = "{\"a\":".repeat(50_000) + "1" + "}".repeat(50_000);
        assertRefused("\"models\":[", "\"more\":" + objects + ",\"models\":[");
        assertThat(read("i-1", deep).isOk(), is(false));
        assertThat(read("i-1", "\u0000\u0001").isOk(), is(false));
        byte[] bytes = {(byte) 0xFF, (byte) 0xFE, '{', '}'};
        assertThat(PlatformReader.target("servers/i-1", bytes).isOk(), is(false));
        assertThat(PlatformReader.target("servers/i-1", new byte[0]).isOk(), is(false));
    }

    /** The id is sent as a header. */
    @Test
    void shouldRefuseKeysThatNameNoTarget() {
        assertThat(read("", SOUND).isOk(), is(false));
        assertThat(read("i-1\r\nTenant: b", SOUND).isOk(), is(false));
        assertThat(read("i-\u4e00", SOUND).isOk(), is(false));
    }

    /** Whatever is cut from, doubled in or put into an entry, it is refused or usable. */
    @Property(seed = "3501", tries = 2_000)
    void shouldReadNothingUnusableFromAChangedEntry(@ForAll long seed) {
        Random random = new Random(seed);
        String text = SOUND;
        for (int i = random.nextInt(4); i >= 0; i--) {
            int from = random.nextInt(text.length());
            int to = Math.min(text.length(), from + random.nextInt(8));
            String odd = ODD_NUMBERS.get(random.nextInt(ODD_NUMBERS.size()));
            text =
                    switch (random.nextInt(3)) {
                        case 0 -> text.substring(0, from) + text.substring(to);
                        case 1 -> text.substring(0, to) + text.substring(from);
                        default -> text.replaceFirst("[0-9]+(?=[,}])", odd);
                    };
        }
        read("i-1", text).map(OddTargetEntryTest::checked);
    }

    private static TargetRecord checked(TargetRecord record) {
        assertThat(record.address().getPort(), allOf(greaterThan(0), lessThanOrEqualTo(65_535)));
        assertThat(record.slots(), greaterThan(0));
        assertThat(record.orders(), greaterThanOrEqualTo(0L));
        assertThat(record.startedMs(), greaterThanOrEqualTo(0L));
        assertThat(record.coldRemainingMs(), greaterThanOrEqualTo(0L));
        record.versions()
                .values()
                .forEach(v -> assertThat(v.isAfter(WeightVersion.NONE), is(true)));
        return record;
    }
}
