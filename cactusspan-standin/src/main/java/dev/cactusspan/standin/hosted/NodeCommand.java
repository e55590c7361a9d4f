package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command that launches a process of the product, in the folder of the project. */
public interface NodeCommand {
    /** An entry whose wall clock can be shifted. */
    NodeCommand EMULATED =
            clockFile ->
                    List.of(
                            java(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xmx96m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            ClockOffsetEntry.class.getName(),
                            clockFile.toString());

    /** The entry's command of the deploy file, with the classes under test instead of the jar. */
    NodeCommand DEPLOYED = clockFile -> deployed("entry");

    /** The same for the process of a VM with a disk. */
    NodeCommand DEPLOYED_STORAGE = clockFile -> deployed("storage");

    /**
     * Returns the entry's command of the deploy file with a smaller heap.
     *
     * @param heapMb size of the heap in MB
     * @return the command
     */
    static NodeCommand deployedWithHeap(int heapMb) {
        return clockFile ->
                deployed("entry").stream()
                        .map(word -> word.startsWith("-Xmx") ? "-Xmx" + heapMb + "m" : word)
                        .toList();
    }

    /**
     * Returns the words of the command.
     *
     * @param clockFile file with the offset of the process's wall clock
     * @return the words
     */
    List<String> words(Path clockFile);

    /**
     * Returns the folder of the project.
     *
     * @return its path
     */
    static Path root() {
        return Path.of(System.getProperty("project.root", "..")).toAbsolutePath().normalize();
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static List<String> deployed(String role) {
        try {
            String text = Files.readString(root().resolve("deploy").resolve("system.toml"));
            Matcher run =
                    Pattern.compile("run = \"java (.*) -jar \\S+ " + role + "\"").matcher(text);
            if (!run.find()) {
                throw new IllegalStateException("deploy/system.toml: no command of role " + role);
            }
            List<String> words = new ArrayList<>(List.of(java()));
            words.addAll(List.of(run.group(1).split(" ")));
            words.addAll(List.of("-cp", System.getProperty("java.class.path")));
            words.addAll(List.of("dev.cactusspan.command.Main", role));
            return words;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
