package dev.cactusspan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that each test named on the page of guarantees exists. */
final class GuaranteesTest {
    private static final Path ROOT = Path.of(System.getProperty("project.root", ".."));
    private static final Pattern NAME = Pattern.compile("`([A-Za-z]+Test)\\.(\\w+)`");
    private static final int GUARANTEES = 14;

    @Test
    void shouldNameTestsThatExist() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/GUARANTEES.md"));
        Matcher testNames = NAME.matcher(page);
        while (testNames.find()) {
            String source = source(testNames.group(1) + ".java");
            assertThat(source, containsString("void " + testNames.group(2) + "("));
        }
    }

    @Test
    void shouldHaveARowWithATestForEachPoint() throws IOException {
        List<String> rows =
                Files.readAllLines(ROOT.resolve("docs/GUARANTEES.md")).stream()
                        .filter(line -> line.matches("\\| \\d+ \\|.*"))
                        .filter(line -> NAME.matcher(line).find())
                        .toList();
        assertThat(rows, hasSize(GUARANTEES));
    }

    private static String source(String fileName) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT, 12)) {
            Path file =
                    files.filter(f -> f.endsWith(fileName))
                            .filter(f -> f.toString().contains("src"))
                            .findFirst()
                            .orElseThrow(() -> new AssertionError("no file " + fileName));
            return Files.readString(file);
        }
    }
}
