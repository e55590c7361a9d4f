package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the platform's names are used only in the adapter package. */
final class PlatformNamesTest {
    private static final List<String> NAMES =
            List.of(
                    "Attempt-Id",
                    "Deadline-Ms",
                    "Server-Stamp",
                    "Expect-Instance",
                    "X-Api-Key",
                    "Duty-Holder",
                    "Fencing-Token",
                    "Token-Usage",
                    "Length-Hint",
                    "Prompt-Prefix",
                    "Not-Executed",
                    "Weight-Versions",
                    "weight-versions",
                    "Wait-Ms",
                    "Last-Event-Id",
                    "/-/",
                    "kv-",
                    "op/",
                    "servers/",
                    "window_id",
                    "api_keys",
                    "target_groups",
                    "has_more",
                    "as_of=");

    @Test
    void shouldBeUsedOnlyInTheAdapterPackage() throws IOException {
        Path main = Path.of(System.getProperty("project.root"), "cactusspan/src/main/java");
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(main)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                if (!file.getParent().endsWith("platform")) {
                    String text = Files.readString(file);
                    NAMES.stream()
                            .filter(
                                    name ->
                                            text.contains("\"" + name)
                                                    || text.contains(name + "\""))
                            .forEach(name -> found.add(file.getFileName() + ": " + name));
                }
            }
        }
        assertThat(found, is(empty()));
    }
}
