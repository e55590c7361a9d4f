package dev.cactusspan.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.text.JsonText;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compares the published OpenAPI document with the routes. */
final class OpenApiTest {

    @Test
    void shouldPublishExactlyTheRoutes() {
        JsonNode file = JsonText.readResource("/openapi.json", new TypeReference<>() {});
        Set<String> published = new TreeSet<>();
        file.get("paths")
                .fields()
                .forEachRemaining(
                        path ->
                                path.getValue()
                                        .fieldNames()
                                        .forEachRemaining(
                                                method ->
                                                        published.add(
                                                                method.toUpperCase(Locale.ROOT)
                                                                        + " "
                                                                        + path.getKey())));
        Set<String> routes =
                Arrays.stream(ApiRoute.values())
                        .map(r -> r.method() + " " + r.path())
                        .collect(Collectors.toCollection(TreeSet::new));
        assertThat(published, is(routes));
    }
}
