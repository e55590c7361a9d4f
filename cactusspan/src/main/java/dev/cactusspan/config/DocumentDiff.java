package dev.cactusspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two documents by path. */
public final class DocumentDiff {
    private DocumentDiff() {}

    /**
     * Lists the differences, one line a path.
     *
     * @param before the earlier tree
     * @param after the later tree
     * @return lines that start with {@code +}, {@code -} or {@code ~}; empty if both are the same
     */
    public static List<String> lines(JsonNode before, JsonNode after) {
        List<String> lines = new ArrayList<>();
        compare("$", before, after, lines);
        return lines;
    }

    private static void compare(String path, JsonNode before, JsonNode after, List<String> lines) {
        if (before.equals(after)) {
            return;
        }
        if (before.isObject() && after.isObject()) {
            TreeSet<String> names = new TreeSet<>();
            before.fieldNames().forEachRemaining(names::add);
            after.fieldNames().forEachRemaining(names::add);
            for (String name : names) {
                compareChild(path + "." + name, before.get(name), after.get(name), lines);
            }
            return;
        }
        if (before.isArray() && after.isArray()) {
            compareArrays(path, before, after, lines);
            return;
        }
        lines.add("~ " + path + ": " + before + " -> " + after);
    }

    private static void compareChild(
            String path, JsonNode before, JsonNode after, List<String> lines) {
        if (before == null) {
            lines.add("+ " + path + ": " + after);
            return;
        }
        if (after == null) {
            lines.add("- " + path + ": " + before);
            return;
        }
        compare(path, before, after, lines);
    }

    private static void compareArrays(
            String path, JsonNode before, JsonNode after, List<String> lines) {
        Map<String, JsonNode> earlier = byLabel(before);
        Map<String, JsonNode> later = byLabel(after);
        TreeSet<String> labels = new TreeSet<>(earlier.keySet());
        labels.addAll(later.keySet());
        for (String label : labels) {
            compareChild(path + "[" + label + "]", earlier.get(label), later.get(label), lines);
        }
    }

    /** Labels an item by its name, or by its text if it has none, so that order does not matter. */
    private static Map<String, JsonNode> byLabel(JsonNode array) {
        Map<String, JsonNode> items = new TreeMap<>();
        for (Iterator<JsonNode> it = array.elements(); it.hasNext(); ) {
            JsonNode item = it.next();
            items.put(item.has("name") ? item.get("name").asText() : item.toString(), item);
        }
        return items;
    }
}
