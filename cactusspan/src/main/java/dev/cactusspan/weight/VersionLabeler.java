package dev.cactusspan.weight;

import dev.cactusspan.id.WeightVersion;
import java.util.ArrayList;
import java.util.List;

/**
 * Labels the tokens of one generation with the weight versions that produced them.
 *
 * <p>If the engine reports the version of each part of its response, those versions are used. If
 * only some parts have a reported version, the label of the whole response is unknown. If none has
 * one, the tokens are labelled only if the versions read before and after the generation are known
 * and equal and no swap was ordered in between. Otherwise the label is unknown; it is never
 * guessed.
 */
public final class VersionLabeler {
    private final WeightVersion mBefore;
    private final long mSwapsBefore;
    private final List<VersionSpan> mSpans = new ArrayList<>();
    private int mTokens;
    private boolean mHasPartWithoutVersion;

    /**
     * Creates a labeler.
     *
     * @param before version read before the generation, or {@link WeightVersion#NONE} if unknown
     * @param swapsBefore number of swaps ordered before the generation
     */
    public VersionLabeler(WeightVersion before, long swapsBefore) {
        mBefore = before;
        mSwapsBefore = swapsBefore;
    }

    /**
     * Adds a part of the response.
     *
     * @param tokens number of tokens in the part
     * @param version version reported by the engine, or {@link WeightVersion#NONE}
     */
    public void addPart(int tokens, WeightVersion version) {
        if (tokens == 0) {
            return;
        }
        int from = mTokens;
        mTokens += tokens;
        if (version.equals(WeightVersion.NONE)) {
            mHasPartWithoutVersion = true;
            return;
        }
        int last = mSpans.size() - 1;
        boolean isContinued =
                last >= 0
                        && mSpans.get(last).version().equals(version)
                        && mSpans.get(last).toToken() == from;
        if (isContinued) {
            mSpans.set(last, new VersionSpan(version, mSpans.get(last).fromToken(), mTokens));
            return;
        }
        mSpans.add(new VersionSpan(version, from, mTokens));
    }

    /**
     * Finishes labelling.
     *
     * @param after version read after the generation, or {@link WeightVersion#NONE} if unknown
     * @param swapsAfter number of swaps ordered until now
     * @return spans that cover all tokens, or an empty list if the label is unknown
     */
    public List<VersionSpan> finish(WeightVersion after, long swapsAfter) {
        if (!mHasPartWithoutVersion) {
            return List.copyOf(mSpans);
        }
        boolean isUnchanged =
                mSpans.isEmpty()
                        && !mBefore.equals(WeightVersion.NONE)
                        && mBefore.equals(after)
                        && mSwapsBefore == swapsAfter;
        return isUnchanged ? List.of(new VersionSpan(mBefore, 0, mTokens)) : List.of();
    }

    /**
     * Returns the number of tokens added.
     *
     * @return the number of tokens
     */
    public int tokens() {
        return mTokens;
    }
}
