package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.FleetService;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests parsing of valid and malformed values of operators and targets. */
final class PlatformReaderTest {
    private static final String TARGET =
            "{\"service\":\"lm\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":5,"
                    + "\"models\":[{\"name\":\"m\",\"version\":3,\"adapters\":[]}],\"sequence\":4}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Result<TargetRecord> target(String text) {
        return PlatformReader.target("servers/i-1", bytes(text));
    }

    @Test
    void shouldReadATarget() {
        TargetRecord record = target(TARGET).get();
        assertThat(record.id().value(), is("i-1"));
        assertThat(record.address().getPort(), is(8080));
        assertThat(record.version(ModelId.of("m")), is(WeightVersion.of(3)));
        assertThat(record.software(), is(SoftwareVersion.of("v1")));
        assertThat(record.startedMs(), is(5L));
    }

    @Test
    void shouldRejectAMalformedTarget() {
        assertThat(target("{").isOk(), is(false));
        assertThat(target("[]").isOk(), is(false));
        assertThat(target(TARGET.replace("\"ready\"", "\"asleep\"")).isOk(), is(false));
        assertThat(target(TARGET.replace("\"slots\":8", "\"slots\":\"8\"")).isOk(), is(false));
        assertThat(target(TARGET.replace("10.0.0.9:8080", "10.0.0.9")).isOk(), is(false));
        assertThat(target(TARGET.replace("\"service\":\"lm\",", "")).isOk(), is(false));
        assertThat(target(TARGET.replace("\"version\":\"v1\",", "")).isOk(), is(false));
    }

    @Test
    void shouldReadADesiredState() {
        String text =
                "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/a/\","
                        + "\"type\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":292,"
                        + "\"backends\":[{\"service\":\"x\",\"weight\":90},"
                        + "{\"service\":\"y\",\"weight\":10}],\"max_attempts\":4,\"public\":true},"
                        + "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/a/b/\","
                        + "\"type\":\"rollout\","
                        + "\"service\":\"lm\",\"run_slo_ms\":7500,\"retention_s\":40}],"
                        + "\"services\":[{\"name\":\"lm\",\"engine\":"
                        + "{\"models\":[{\"name\":\"m\"}]}}],"
                        + "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\",\"k2\"]}]}";
        DesiredState state = PlatformReader.desiredState(bytes(text)).get();
        FleetRoute outer = state.route("h", "/a/x").orElseThrow();
        FleetRoute inner = state.route("h", "/a/b/x").orElseThrow();
        assertThat(outer.chooseService(0.95), is(ServiceId.of("y")));
        assertThat(outer.isOpen(), is(true));
        assertThat(inner.kind(), is(RouteKind.BATCH));
        assertThat(inner.batch().retentionMs(), is(40_000L));
        assertThat(state.route("other", "/a/x"), is(Optional.empty()));
        assertThat(state.account("k2"), is(Optional.of(AccountId.of("acme"))));
        assertThat(state.account("k3"), is(Optional.empty()));
    }

    @Test
    void shouldReadHowLongTargetsAreCold() {
        assertThat(
                target(TARGET.replace("remaining_ms\":0", "remaining_ms\":1200.5"))
                        .get()
                        .coldRemainingMs(),
                is(1_200L));
        String text =
                "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"lm\","
                        + "\"cold_start_s\":3.0,\"cold_per_s\":12.0}]}";
        FleetService service =
                PlatformReader.desiredState(bytes(text))
                        .get()
                        .service(ServiceId.of("lm"))
                        .orElseThrow();
        assertThat(service.coldStartMs(), is(3_000L));
        assertThat(service.coldPerS(), is(12.0));
    }

    @Test
    void shouldReadTheRegionsOfRoutesAndAccounts() {
        String text =
                "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/a/\","
                        + "\"service\":\"x\",\"allowed_regions\":[\"ra\",\"rb\"]},"
                        + "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/b/\",\"service\":\"x\","
                        + "\"allowed_regions\":[]}],"
                        + "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[],"
                        + "\"allowed_regions\":[\"rb\"]}]}";
        DesiredState state = PlatformReader.desiredState(bytes(text)).get();
        assertThat(
                state.residency(RouteId.of("r")),
                is(Optional.of(Residency.of(Set.of(RegionId.of("ra"), RegionId.of("rb"))))));
        assertThat(state.residency(RouteId.of("q")), is(Optional.of(Residency.ANYWHERE)));
        assertThat(
                state.residency(AccountId.of("acme")), is(Residency.of(Set.of(RegionId.of("rb")))));
        assertThat(state.hasBoundRequests(), is(true));
    }

    @Test
    void shouldRefuseADesiredStateWithLineEnds() {
        String text =
                "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/a/\"}],"
                        + "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}";
        assertThat(PlatformReader.desiredState(bytes(text)).isOk(), is(true));
        for (String field : List.of(":\"h", "/a/", "acme")) {
            Result<DesiredState> state =
                    PlatformReader.desiredState(
                            bytes(text.replace(field, field + "\\r\\nTenant: b")));
            assertThat(field, state.isOk(), is(false));
        }
    }

    /** A number that does not fit became another one, such as a negative time-out. */
    @Test
    void shouldRefuseNumbersThatDoNotFitInWhatOperatorsWrite() {
        String text =
                "{\"version\":7,\"limits\":{\"max_header_bytes\":1},\"routes\":[{\"name\":\"r\","
                        + "\"prefix\":\"/a/\",\"timeout_ms\":2,\"max_attempts\":3}],"
                        + "\"services\":[{\"name\":\"s\",\"max_connections\":4}]}";
        assertThat(PlatformReader.desiredState(bytes(text)).isOk(), is(true));
        for (String number : List.of("18446744073709551620", "1e400", "-4294967295")) {
            for (String field : List.of(":1}", ":2,", ":3}", ":4}", ":7,")) {
                String odd = text.replace(field, ":" + number + field.substring(2));
                assertThat(odd, PlatformReader.desiredState(bytes(odd)).isOk(), is(false));
            }
            assertThat(
                    PlatformReader.namedVersion(bytes("{\"version\":" + number + "}")).isOk(),
                    is(false));
        }
    }

    @Property(seed = "81", tries = 500)
    void shouldNotThrowOnMalformedText(@ForAll String text, @ForAll int cut) {
        target(text);
        PlatformReader.desiredState(bytes(text));
        PlatformReader.namedVersion(bytes(text));
        target(TARGET.substring(0, Math.floorMod(cut, TARGET.length())));
    }
}
