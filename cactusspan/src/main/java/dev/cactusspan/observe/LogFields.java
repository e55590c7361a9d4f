package dev.cactusspan.observe;

import com.google.common.flogger.MetadataKey;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.TargetId;
import java.util.Map;

/** Fields of structured log lines. Keys, prompts and bodies are never logged. */
public final class LogFields {
    /** Identifier of the request. */
    public static final MetadataKey<RequestId> REQUEST =
            MetadataKey.single("request", RequestId.class);

    /** Identifier of the client account. */
    public static final MetadataKey<AccountId> ACCOUNT =
            MetadataKey.single("account", AccountId.class);

    /** Identifier of the target. */
    public static final MetadataKey<TargetId> TARGET = MetadataKey.single("target", TargetId.class);

    /** Revision of the configuration. */
    public static final MetadataKey<Revision> REVISION =
            MetadataKey.single("revision", Revision.class);

    /** Outcome of the request. */
    public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

    /** Duration of the request in milliseconds. */
    public static final MetadataKey<Long> TOOK_MS = MetadataKey.single("took_ms", Long.class);

    /** Inputs and outcome of a decision by field name. */
    @SuppressWarnings("unchecked")
    public static final MetadataKey<Map<String, Object>> DECISION =
            MetadataKey.single("decision", (Class<Map<String, Object>>) (Class<?>) Map.class);

    private LogFields() {}
}
