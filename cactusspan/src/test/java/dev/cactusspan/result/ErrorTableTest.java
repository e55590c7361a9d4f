package dev.cactusspan.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Checks that the error table matches the error kinds and the documentation for operators. */
final class ErrorTableTest {
    private static final Path PAGE =
            Path.of(System.getProperty("project.root", ".."), "docs", "OPERATIONS.md");

    @Test
    void shouldHaveARowForEachKind() {
        for (ErrorKind kind : ErrorKind.values()) {
            assertThat(kind.wireName(), ErrorTable.standard().row(kind).status() >= 400, is(true));
        }
    }

    @Test
    void shouldNeverAllowAllRetriesOfARequestThatMayHaveRun() {
        for (ErrorKind kind : ErrorKind.values()) {
            ErrorTable.Row row = ErrorTable.standard().row(kind);
            if (row.ran() != ExecutionStatus.NO) {
                assertThat(kind.wireName(), row.retry(), not(ErrorTable.Retry.ALWAYS));
            }
        }
    }

    @Test
    void shouldBeDocumentedForOperators() throws IOException {
        String page = Files.readString(PAGE);
        for (ErrorKind kind : ErrorKind.values()) {
            ErrorTable.Row row = ErrorTable.standard().row(kind);
            String line =
                    "| `"
                            + kind.wireName()
                            + "` | "
                            + row.status()
                            + " | "
                            + row.ran().wireName()
                            + " | "
                            + row.retry().name().toLowerCase(Locale.ROOT)
                            + " |";
            assertThat(page, containsString(line));
        }
    }
}
