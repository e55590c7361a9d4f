package dev.cactusspan.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusspan.id.Revision;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Reads, refuses and fuzzes documents. */
final class DocumentReaderTest {
    private static final Path SAMPLES =
            Path.of(System.getProperty("project.root", ".."), "samples");

    private static String sample(String name) {
        try {
            return Files.readString(SAMPLES.resolve(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String refusal(String text) {
        return DocumentReader.read("doc", text).fold(f -> f.detail(), d -> "accepted");
    }

    @Test
    void shouldReadBothSamplesWithEightAccountsEach() {
        for (String name : List.of("kilimanjaro.json", "qarthaj.json")) {
            Result<EnvironmentDocument> document = DocumentReader.read(name, sample(name));
            assertThat(document.toString(), document.isOk(), is(true));
            assertThat(document.get().accounts().size(), is(8));
            assertThat(document.get().availabilityZones().size(), is(3));
        }
    }

    @Test
    void shouldReportAllProblemsTogetherWithTheirPaths() {
        String text =
                sample("kilimanjaro.json")
                        .replace("\"body_bytes\": 1048576", "\"body_kilobytes\": 1024")
                        .replace("\"weight\": 4", "\"weight\": \"four\"");
        String refusal = refusal(text);
        assertThat(refusal, containsString("$.bounds"));
        assertThat(refusal, containsString("body_kilobytes"));
        assertThat(refusal, containsString("$.accounts[0].weight"));
    }

    @Test
    void shouldReportUndeclaredReferencesAndContradictingBounds() {
        String text =
                sample("kilimanjaro.json")
                        .replace("\"service\": \"lantern-lm\"", "\"service\": \"moon-lm\"")
                        .replace("\"accounts\": [\"settlement\"]", "\"accounts\": [\"nobody\"]")
                        .replace("\"claim_ttl_s\": 3600", "\"claim_ttl_s\": 1");
        String refusal = refusal(text);
        assertThat(refusal, containsString("model moon-lm is not declared"));
        assertThat(refusal, containsString("account nobody is not declared"));
        assertThat(refusal, containsString("$.bounds.claim_ttl_s"));
    }

    @Test
    void shouldReportLineAndColumnOfASyntaxError() {
        assertThat(refusal("{\n  \"environment\": }"), containsString("doc:2:"));
    }

    @Test
    void shouldRefuseADuplicateField() {
        assertThat(
                refusal("{\"environment\": \"a\", \"environment\": \"b\"}"),
                containsString("Duplicate"));
    }

    @Property(seed = "4")
    void shouldReturnAFailureForAnyInvalidText(@ForAll String text) {
        assertThat(DocumentReader.read("doc", text).isOk(), is(false));
    }

    @Property(seed = "5", tries = 1_000)
    void shouldReturnAResultForAnyDamageAndAcceptOnlyIndexableDocuments(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int damages) {
        Random random = new Random(seed);
        JsonNode tree = JsonText.parse("doc", sample("kilimanjaro.json")).get();
        for (int i = 0; i < damages; i++) {
            damage(tree, random);
        }
        Result<EnvironmentDocument> read = DocumentReader.read("doc", JsonText.writeString(tree));
        if (read.isOk()) {
            StoredDocument stored = new StoredDocument(Revision.of(1), JsonText.writeString(tree));
            assertThat(Configuration.of(stored).isOk(), is(true));
        }
    }

    private static void damage(JsonNode node, Random random) {
        if (node.isObject()) {
            List<String> names = new ArrayList<>();
            node.fieldNames().forEachRemaining(names::add);
            if (names.isEmpty()) {
                return;
            }
            String name = names.get(random.nextInt(names.size()));
            boolean isLeaf = !node.get(name).isContainerNode();
            if (isLeaf || random.nextInt(8) == 0) {
                replace((ObjectNode) node, name, random);
                return;
            }
            damage(node.get(name), random);
            return;
        }
        if (node.isArray() && !node.isEmpty()) {
            int index = random.nextInt(node.size());
            if (random.nextInt(4) == 0) {
                ((ArrayNode) node).remove(index);
                return;
            }
            damage(node.get(index), random);
        }
    }

    private static void replace(ObjectNode node, String name, Random random) {
        switch (random.nextInt(5)) {
            case 0 -> node.remove(name);
            case 1 -> node.putNull(name);
            case 2 -> node.put(name, random.nextInt());
            case 3 -> node.put(name, "text");
            default -> node.put(name + "x", 1);
        }
    }
}
