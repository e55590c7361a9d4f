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

    /** Tells whether a platform names a settings file. */
    static boolean isConfigured() {
        return !file().isEmpty();
    }

    static Result<GatewaySettings> read() {
        return isConfigured()
                ? SettingsReader.gateway(Path.of(file()))
                : Result.fail(ErrorKind.BAD_REQUEST, VARIABLE + " is not set");
    }

    private static String file() {
        String file = System.getenv(VARIABLE);
        return file == null ? "" : file;
    }
}
