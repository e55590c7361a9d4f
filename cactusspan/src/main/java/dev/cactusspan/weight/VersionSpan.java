package dev.cactusspan.weight;

import dev.cactusspan.id.WeightVersion;

/**
 * Tokens of an answer that one weight version produced.
 *
 * @param version the weight version
 * @param fromToken first token, from zero
 * @param toToken the token after the last
 */
public record VersionSpan(WeightVersion version, int fromToken, int toToken) {}
