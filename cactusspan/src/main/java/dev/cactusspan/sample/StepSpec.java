package dev.cactusspan.sample;

import com.google.common.hash.Hashing;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.List;

/**
 * The specification of a step as submitted by its trainer: a fixed set of slots.
 *
 * @param step number of the step; numbers increase
 * @param groups groups of samples
 */
public record StepSpec(long step, List<Group> groups) {
    private static final int MAX_SAMPLES = 65_536;
    private static final int MAX_TOKENS = 131_072;

    /** Replaces an absent list with an empty one. */
    public StepSpec {
        groups = groups == null ? List.of() : List.copyOf(groups);
    }

    /**
     * Parses a step.
     *
     * @param body JSON in UTF-8
     * @return the step, or {@code bad_request}
     */
    public static Result<StepSpec> read(byte[] body) {
        return JsonText.read(body, StepSpec.class).flatMap(StepSpec::validate);
    }

    private static Result<StepSpec> validate(StepSpec spec) {
        if (spec.step < 1 || spec.groups.isEmpty()) {
            return badRequest("expected step >= 1 and at least one group");
        }
        long total = 0;
        for (Group group : spec.groups) {
            boolean isValid =
                    group.prompt() != null
                            && group.samples() > 0
                            && group.maxTokens() > 0
                            && group.maxTokens() <= MAX_TOKENS;
            if (!isValid) {
                return badRequest("each group needs prompt, samples > 0 and max_tokens > 0");
            }
            total += group.samples();
        }
        return total > MAX_SAMPLES
                ? badRequest("over " + MAX_SAMPLES + " samples")
                : Result.of(spec);
    }

    private static Result<StepSpec> badRequest(String detail) {
        return Result.fail(ErrorKind.BAD_REQUEST, "$: " + detail);
    }

    // Operations

    /**
     * Returns the slots, ordered by group and index.
     *
     * @return the slots
     */
    public List<Slot> slots() {
        List<Slot> slots = new ArrayList<>();
        for (int group = 0; group < groups.size(); group++) {
            for (int index = 0; index < groups.get(group).samples(); index++) {
                slots.add(new Slot(group, index));
            }
        }
        return slots;
    }

    /**
     * Returns a digest, which distinguishes a resubmission of the same step from a different step.
     *
     * @return the digest in hexadecimal
     */
    public String digest() {
        return Hashing.sha256().hashBytes(JsonText.write(this)).toString();
    }

    /**
     * A group of samples that share a prompt.
     *
     * @param prompt the prompt
     * @param samples number of samples
     * @param maxTokens maximum tokens of a sample
     */
    public record Group(String prompt, int samples, int maxTokens) {}

    /**
     * Position of a sample in its step.
     *
     * @param group index of the group, from zero
     * @param index index of the sample in its group, from zero
     */
    public record Slot(int group, int index) {}
}
