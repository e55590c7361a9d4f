package dev.cactusspan.observe;

import com.google.common.flogger.MetadataKey;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.TargetId;
import java.util.Map;

/** Fields of structured log lines. Keys, prompts and bodies are never among them. */
public final class LogFields {
    /** The request. */
    public static final MetadataKey<RequestId> REQUEST =
            MetadataKey.single("request", RequestId.class);

    /** The client account. */
    public static final MetadataKey<AccountId> ACCOUNT =
            MetadataKey.single("account", AccountId.class);

    /** The target. */
    public static final MetadataKey<TargetId> TARGET = MetadataKey.single("target", TargetId.class);

    /** The revision of the configuration. */
    public static final MetadataKey<Revision> REVISION =
            MetadataKey.single("revision", Revision.class);

    /** How a request ended. */
    public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

    /** How long a request took, in milliseconds. */
    public static final MetadataKey<Long> TOOK_MS = MetadataKey.single("took_ms", Long.class);

    /** The inputs and the outcome of a decision by name. */
    @SuppressWarnings("unchecked")
    public static final MetadataKey<Map<String, Object>> DECISION =
            MetadataKey.single("decision", (Class<Map<String, Object>>) (Class<?>) Map.class);

    private LogFields() {}
}
