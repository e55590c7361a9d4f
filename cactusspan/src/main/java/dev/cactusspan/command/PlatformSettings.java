package dev.cactusspan.command;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.settings.SettingsReader;
import java.nio.file.Path;

/** Finds the settings of a process on a hosting platform. */
final class PlatformSettings {
    private static final String VARIABLE = "CACTUSSPAN_CONFIG";

    private PlatformSettings() {}

    static Result<GatewaySettings> read() {
        String file = System.getenv(VARIABLE);
        if (file == null || file.isEmpty()) {
            return Result.fail(
                    ErrorKind.BAD_REQUEST, "no --settings, and " + VARIABLE + " is not set");
        }
        return SettingsReader.gateway(Path.of(file));
    }
}
