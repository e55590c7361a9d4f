package dev.cactusspan.text;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import java.util.List;

/** Checks JSON against a JSON Schema resource and reports all problems together. */
public final class SchemaCheck {
    private final JsonSchema mSchema;

    private SchemaCheck(JsonSchema schema) {
        mSchema = schema;
    }

    /**
     * Reads the schema of a resource.
     *
     * @param path absolute resource path
     * @return the check
     */
    public static SchemaCheck of(String path) {
        JsonNode node = JsonText.readResource(path, new TypeReference<>() {});
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder().pathType(PathType.JSON_PATH).build();
        JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
        return new SchemaCheck(factory.getSchema(node, config));
    }

    /**
     * Lists what is wrong with a tree.
     *
     * @param tree the tree
     * @return one line a problem, with its path; empty if the tree is valid
     */
    public List<String> problems(JsonNode tree) {
        return mSchema.validate(tree).stream().map(Object::toString).sorted().toList();
    }
}
