package dev.cactusspan.command;

import dev.cactusspan.config.KeyHash;
import java.io.PrintStream;
import java.security.SecureRandom;

/** Generates a key and its hash. Only the hash belongs in a document. */
public final class KeyNewCommand implements Command {
    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        String key = KeyHash.newKey(new SecureRandom());
        out.println("key  " + key);
        out.println("hash " + KeyHash.ofKey(key).text());
        return ExitCode.OK;
    }
}
