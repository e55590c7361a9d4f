package dev.cactusspan.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Generates a key for each client account of a document, and writes the keys and the document with
 * their hashes.
 */
public final class KeysCommand implements Command {
    @Option(name = "--out", required = true, usage = "output file for the document")
    private Path mOut;

    @Option(name = "--keys", required = true, usage = "output file for the keys")
    private Path mKeys;

    @Argument(metaVar = "FILE", required = true, usage = "the document")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        JsonNode document = JsonText.parse(mFile.toString(), Files.readString(mFile)).get();
        SecureRandom random = new SecureRandom();
        Map<String, String> keys = new TreeMap<>();
        for (JsonNode account : document.path("accounts")) {
            String key = KeyHash.newKey(random);
            keys.put(account.path("name").asText(), key);
            ArrayNode hashes = JsonText.mapper().createArrayNode().add(KeyHash.ofKey(key).text());
            ((ObjectNode) account).set("key_hashes", hashes);
        }
        Files.write(mOut, JsonText.write(document));
        Files.write(mKeys, JsonText.write(keys));
        return ExitCode.OK;
    }
}
