package dev.cactusspan.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.Result;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings of a process on a hosting platform. */
final class PlatformSettingsTest {
    private static final String GOOD =
            "// comment\n{\"vm\":\"e1\",\"zone\":\"a\",\"zones\":{\"a\":\"r\"},"
                    + "\"ip\":\"10.0.0.1\",\"client_address\":\"10.0.0.1:80\","
                    + "\"ready_address\":\"10.0.0.1:81\",\"link_port\":7360,"
                    + "\"metrics_port\":9464,\"store_address\":\"10.0.0.2:82\","
                    + "\"usage_address\":\"10.0.0.2:83\",\"usage_window_s\":5,"
                    + "\"turn_ms\":3000,\"is_fencing_checked\":true,\"stop_s\":8,\"new\":1}";

    @TempDir private Path mFolder;

    private Result<GatewaySettings> read(String text) throws IOException {
        Path file = mFolder.resolve("settings.json");
        Files.writeString(file, text);
        return SettingsReader.gateway(file);
    }

    @Test
    void shouldReadSettingsAndIgnoreUnknownFields() throws IOException {
        GatewaySettings settings = read(GOOD).get();
        assertThat(settings.vm().value(), is("e1"));
        assertThat(settings.isFencingChecked(), is(true));
        assertThat(settings.stopS(), is(8));
    }

    @Test
    void shouldReportPathAndReasonOfEachBadField() throws IOException {
        String bad = GOOD.replace("7360", "\"x\"").replace("10.0.0.2:82", "nowhere");
        String detail = read(bad).fold(f -> f.detail(), s -> "");
        assertThat(detail, containsString("$.link_port: expected a whole number above 0"));
        assertThat(detail, containsString("$.store_address: expected IP:PORT"));
    }

    @Test
    void shouldRefuseInvalidJson() throws IOException {
        assertThat(read("{").isOk(), is(false));
    }
}
