package dev.cactusspan.command;

import dev.cactusspan.config.KeyHash;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Hashes a key. The key is read from standard input, so that process lists do not show it. */
public final class KeyHashCommand implements Command {
    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String key = reader.readLine();
        if (key == null || key.isBlank()) {
            err.println("bad_request: standard input: expected one line with a key");
            return ExitCode.FAILED;
        }
        out.println(KeyHash.ofKey(key.strip()).text());
        return ExitCode.OK;
    }
}
