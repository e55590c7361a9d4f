package dev.cactusspan.settings;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.text.SchemaCheck;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Reads settings of a process and reports all their problems together. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads settings of an entry.
     *
     * @param file the file
     * @return the settings, or {@code bad_request} with one problem a line
     */
    public static Result<EntrySettings> entry(Path file) {
        return read(file, "/dev/cactusspan/settings/entry.schema.json", EntrySettings.class);
    }

    /**
     * Reads settings of a side process.
     *
     * @param file the file
     * @return the settings, or {@code bad_request} with one problem a line
     */
    public static Result<SideSettings> side(Path file) {
        return read(file, "/dev/cactusspan/settings/side.schema.json", SideSettings.class);
    }

    /**
     * Reads settings of a process on a hosting platform. Unknown fields are ignored.
     *
     * @param file the file
     * @return the settings, or {@code bad_request} with one problem a line
     */
    public static Result<GatewaySettings> gateway(Path file) {
        return text(file)
                .flatMap(text -> JsonText.parse(file.toString(), text))
                .flatMap(
                        tree -> {
                            List<String> problems = GatewaySettings.problems(tree);
                            return problems.isEmpty()
                                    ? Result.of(
                                            JsonText.mapper()
                                                    .convertValue(tree, GatewaySettings.class))
                                    : invalid(file, problems);
                        });
    }

    /**
     * Reads a text file.
     *
     * @param file the file
     * @return its text, or {@code not_found}
     */
    public static Result<String> text(Path file) {
        try {
            return Result.of(Files.readString(file));
        } catch (IOException e) {
            return Result.fail(ErrorKind.NOT_FOUND, file + ": cannot be read as UTF-8 text");
        }
    }

    private static <T> Result<T> read(Path file, String schema, Class<T> type) {
        return text(file)
                .flatMap(text -> JsonText.parse(file.toString(), text))
                .flatMap(
                        tree -> {
                            List<String> problems = SchemaCheck.of(schema).problems(tree);
                            if (problems.isEmpty()) {
                                return Result.of(JsonText.mapper().convertValue(tree, type));
                            }
                            return invalid(file, problems);
                        });
    }

    private static <T> Result<T> invalid(Path file, List<String> problems) {
        String lines =
                problems.stream().map(p -> file + ": " + p).collect(Collectors.joining("\n"));
        return Result.fail(ErrorKind.BAD_REQUEST, lines);
    }
}
