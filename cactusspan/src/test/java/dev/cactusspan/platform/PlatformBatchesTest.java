package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import dev.cactusspan.batch.Batch;
import dev.cactusspan.batch.ItemResult;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests parsing of batches and serialization of results. */
final class PlatformBatchesTest {
    private static final String BATCH =
            "{\"step\":7,\"model\":\"m\",\"min_version\":6,\"target_groups\":12,\"items\":"
                    + "[{\"id\":\"i1\",\"path\":\"/p/1\",\"headers\":{\"Model\":\"m\","
                    + "\"Token-Usage\":\"540,400\",\"Tenant\":\"evil\"},\"body\":\"q83vEjRWeJA=\","
                    + "\"tokens\":940,\"group\":\"g1\",\"scorer\":{\"id\":\"s1\",\"host\":\"h\","
                    + "\"path\":\"/s/1\",\"body\":\"3q2+7w==\"}}]}";
    private static final FleetRoute ROUTE =
            new FleetRoute(
                    RouteId.of("r"),
                    "h",
                    "/p/",
                    RouteKind.BATCH,
                    0,
                    400,
                    0,
                    List.of(new FleetRoute.Share(ServiceId.of("lm"), 1)),
                    3,
                    false,
                    false,
                    new FleetRoute.BatchBounds(7_500, 40_000, false));

    private static Result<Batch> read(String text) {
        ClientRequest request =
                new ClientRequest(
                        RequestId.of("b1"),
                        "POST",
                        "/p/b1",
                        "h",
                        Map.of(),
                        text.getBytes(StandardCharsets.UTF_8),
                        Optional.empty(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        Optional.empty());
        return new PlatformBatches().read(request, ROUTE, AccountId.of("acme"), 1_000);
    }

    private static String reason(String text) {
        return read(text).fold(f -> f.detail(), b -> "");
    }

    @Test
    void shouldReadABatch() {
        Batch batch = read(BATCH).get();
        assertThat(batch.minVersion(), is(WeightVersion.of(6)));
        assertThat(batch.wantedGroups(), is(12));
        assertThat(batch.items().get(0).expectedTokens(), is(400L));
        assertThat(batch.items().get(0).headers().containsKey("Tenant"), is(false));
        assertThat(batch.items().get(0).scorer().orElseThrow().path(), is("/s/1"));
    }

    @Test
    void shouldReportTheMalformedField() {
        assertThat(reason("{}"), containsString("items"));
        assertThat(reason(BATCH.replace("\"id\":\"i1\"", "\"id\":1")), containsString("items[0]"));
        assertThat(reason(BATCH.replace("q83vEjRWeJA=", "???")), containsString("base64"));
        String item = BATCH.substring(BATCH.indexOf('[') + 1, BATCH.lastIndexOf(']'));
        assertThat(reason(BATCH.replace(item, item + "," + item)), containsString("twice"));
    }

    /** Line ends in a field would end the request to the target and begin another one. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/p/1|items[0].path",
                "i1|items[0].id",
                "\"Model\":\"m|items[0].headers.Model",
                "Model|items[0].headers",
                "s1|items[0].scorer.id",
                "\"host\":\"h|items[0].scorer.host",
                "/s/1|items[0].scorer.path"
            })
    void shouldRefuseFieldsThatHoldAnotherRequest(String text, String field) {
        String smuggled = text + " HTTP/1.1\\r\\nHost: h\\r\\n\\r\\nPOST /-/order";
        Result<Batch> batch = read(BATCH.replace(text, smuggled));
        assertThat(batch.fold(f -> f.kind(), b -> ErrorKind.INTERNAL), is(ErrorKind.BAD_REQUEST));
        assertThat(batch.fold(f -> f.detail(), b -> ""), startsWith(field));
    }

    @Test
    void shouldWriteResults() {
        ItemResult completed =
                new ItemResult(ItemId.of("i1"), true, "a\nb", List.of(WeightVersion.of(6)), "st");
        ResultsView view =
                new ResultsView(2, 2, List.of(completed, ItemResult.abandoned(ItemId.of("i2"))));
        assertThat(
                new String(PlatformBatches.results(view), StandardCharsets.UTF_8),
                is(
                        "{\"next\":2,\"results\":[{\"id\":\"i1\",\"score\":\"st\","
                                + "\"state\":\"completed\",\"text\":\"a\\nb\",\"versions\":[6]},"
                                + "{\"id\":\"i2\",\"state\":\"dead\"}],\"total\":2}"));
    }

    @Property(seed = "92", tries = 300)
    void shouldNotThrowOnMalformedText(@ForAll String text, @ForAll int cut) {
        read(text);
        read(BATCH.substring(0, Math.floorMod(cut, BATCH.length())));
    }
}
