package dev.cactusspan.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulates a trainer that submits one step and publishes new weights once part of the samples is
 * delivered.
 */
final class DemoTrainer implements Runnable {
    private static final int TOKENS = 64;
    private static final long NEW_VERSION = 2;
    private static final long TIMEOUT_MS = 45_000;
    private static final int CONFLICT = 409;
    private static final int NO_CONTENT = 204;

    private final DemoClient mClient;
    private final URI mEntry;
    private final String mKey;
    private final int mGroups;
    private final int mGroupSamples;
    private final Set<String> mDelivered = new HashSet<>();
    private final Set<Long> mVersions = new HashSet<>();
    private int mDuplicates;
    private int mWrong;
    private boolean mIsPublished;

    DemoTrainer(DemoClient client, URI entry, String key, int groups, int groupSamples) {
        mClient = client;
        mEntry = entry;
        mKey = key;
        mGroups = groups;
        mGroupSamples = groupSamples;
    }

    @Override
    public void run() {
        publish(Map.of("staged", 1, "active", 1));
        submit();
        long after = 0;
        long untilMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            DemoClient.Reply reply = send("GET", "deliveries?wait_ms=2000&after=" + after, null);
            if (reply.status() == NO_CONTENT) {
                continue;
            }
            if (!reply.isOk()) {
                mWrong += reply.status() == CONFLICT ? 1 : 0;
                submit();
                continue;
            }
            JsonNode body = reply.json();
            after = body.path("delivery").asLong();
            accept(body);
            if (body.path("step_complete").asBoolean() && !body.has("samples")) {
                return;
            }
            publishOnce();
        }
    }

    private void submit() {
        List<Map<String, Object>> groups = new ArrayList<>();
        for (int i = 0; i < mGroups; i++) {
            groups.add(Map.of("prompt", prompt(i), "samples", mGroupSamples, "max_tokens", TOKENS));
        }
        Map<String, Object> step = new HashMap<>();
        step.put("step", 1);
        step.put("groups", groups);
        send("POST", "steps", step);
    }

    private static String prompt(int group) {
        return "booking query " + group;
    }

    private void accept(JsonNode body) {
        for (JsonNode sample : body.path("samples")) {
            int group = sample.path("group").asInt();
            if (!mDelivered.add(group + "/" + sample.path("index").asInt())) {
                mDuplicates++;
            }
            boolean isCorrect =
                    sample.path("text")
                            .asText()
                            .equals(EngineStandIn.expectedText(prompt(group), TOKENS));
            mWrong += isCorrect ? 0 : 1;
            sample.path("versions").forEach(v -> mVersions.add(v.path("version").asLong()));
        }
    }

    /**
     * Stages new weights and immediately activates them, once a quarter of the step is delivered.
     */
    private void publishOnce() {
        if (mIsPublished || mDelivered.size() < mGroups * mGroupSamples / 4) {
            return;
        }
        mIsPublished = true;
        publish(Map.of("staged", NEW_VERSION, "active", 0));
        publish(Map.of("staged", NEW_VERSION, "active", NEW_VERSION));
    }

    private void publish(Map<String, Object> versions) {
        DemoClient.Reply reply =
                mClient.send(
                        "POST",
                        mEntry.resolve("/v1/models/lantern-lm/weights"),
                        headers(),
                        versions);
        mWrong += reply.isOk() ? 0 : 1;
    }

    private DemoClient.Reply send(String method, String path, Object body) {
        URI uri = mEntry.resolve("/v1/trainers/lantern-trainer-1/" + path);
        return mClient.send(method, uri, headers(), body);
    }

    private Map<String, String> headers() {
        return Map.of("Authorization", "Bearer " + mKey, "Content-Type", "application/json");
    }

    // Accessors

    int delivered() {
        return mDelivered.size();
    }

    int duplicates() {
        return mDuplicates;
    }

    int missing() {
        return mGroups * mGroupSamples - mDelivered.size();
    }

    int wrong() {
        return mWrong;
    }

    Set<Long> versions() {
        return mVersions;
    }
}
