package dev.cactusspan.sample;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;

/**
 * A sample as it is delivered.
 *
 * @param step its step
 * @param group its group
 * @param index its place in the group
 * @param text generated text
 * @param tokens generated tokens
 * @param versions weight versions that produced the tokens
 */
public record Sample(
        long step, int group, int index, String text, int tokens, List<VersionSpan> versions) {

    /**
     * Returns the oldest version that produced a token.
     *
     * @return the version, zero if there is no label
     */
    public WeightVersion oldestVersion() {
        return versions.stream()
                .map(VersionSpan::version)
                .min(WeightVersion::compareTo)
                .orElse(WeightVersion.NONE);
    }

    /**
     * Tells whether the labels cover all tokens without gap or overlap.
     *
     * @return true if each token has one version
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
