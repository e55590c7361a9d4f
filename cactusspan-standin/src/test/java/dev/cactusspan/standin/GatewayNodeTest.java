package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.GatewayNode;
import dev.cactusspan.standin.hosted.NodeCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the start, the stop and the log lines of a real process of the product. */
final class GatewayNodeTest {
    private static final int UNUSED_PORT = 1;
    private static final int TRIES = 3_000;
    private static final long POLL_MS = 10;
    private static final long EXIT_TIMEOUT_MS = 30_000;

    @TempDir private Path mFolder;

    private String log() throws IOException {
        Path log = mFolder.resolve("entry.log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    private void await(String message) throws Exception {
        for (int i = 0; i < TRIES && !log().contains(message); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(log(), containsString(message));
    }

    @Test
    void shouldStartWhenToldToReloadItsSettingsDuringStartup() throws Exception {
        try (GatewayNode node =
                GatewayNode.start(
                        mFolder, "entry", NodeCommand.EMULATED, UNUSED_PORT, UNUSED_PORT, 1)) {
            await("\"starting\"");
            node.signal("HUP");
            await("\"started\"");
        }
    }

    @Test
    void shouldLogUntilItHasStopped() throws Exception {
        try (GatewayNode node =
                GatewayNode.start(
                        mFolder, "entry", NodeCommand.EMULATED, UNUSED_PORT, UNUSED_PORT, 1)) {
            await("\"started\"");
            node.signal("TERM");
            assertThat(node.awaitExit(EXIT_TIMEOUT_MS), is(true));
        }
        assertThat(log(), containsString("\"stopping\""));
        assertThat(log(), containsString("\"stopped\""));
    }
}
