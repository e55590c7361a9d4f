package dev.cactusspan.weight;

import dev.cactusspan.id.WeightVersion;

/**
 * Range of tokens of a response that one weight version produced.
 *
 * @param version the weight version
 * @param fromToken index of the first token, from zero
 * @param toToken index after the last token
 */
public record VersionSpan(WeightVersion version, int fromToken, int toToken) {}
