package dev.cactusspan.sample;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;

/**
 * A sample as delivered to the trainer.
 *
 * @param step its step
 * @param group its group
 * @param index its position in the group
 * @param text generated text
 * @param tokens number of generated tokens
 * @param versions weight versions that generated the tokens, as spans of tokens
 */
public record Sample(
        long step, int group, int index, String text, int tokens, List<VersionSpan> versions) {

    /**
     * Returns the oldest weight version that generated a token.
     *
     * @return the version, {@link WeightVersion#NONE} if there are no labels
     */
    public WeightVersion oldestVersion() {
        return versions.stream()
                .map(VersionSpan::version)
                .min(WeightVersion::compareTo)
                .orElse(WeightVersion.NONE);
    }

    /**
     * Tells whether the version labels cover all tokens without gaps or overlaps.
     *
     * @return true if each token has exactly one version
     */
    public boolean isLabelled() {
        int next = 0;
        for (VersionSpan span : versions) {
            if (span.fromToken() != next || span.toToken() <= next) {
                return false;
            }
            next = span.toToken();
        }
        return next == tokens && tokens > 0;
    }
}
