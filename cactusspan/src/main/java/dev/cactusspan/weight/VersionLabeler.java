package dev.cactusspan.weight;

import dev.cactusspan.id.WeightVersion;
import java.util.ArrayList;
import java.util.List;

/**
 * Labels the tokens of one generation with the weight versions that produced them.
 *
 * <p>An engine that names the version on each part of its answer is believed for that part. Where
 * it does not, a part counts only if the versions read before and after the generation are the same
 * and no swap was ordered between; else the label is unknown, and never guessed.
 */
public final class VersionLabeler {
    private final WeightVersion mBefore;
    private final long mSwapsBefore;
    private final List<VersionSpan> mSpans = new ArrayList<>();
    private int mTokens;
    private boolean mIsPartUnnamed;

    /**
     * Starts labelling.
     *
     * @param before version read before the generation, or {@link WeightVersion#NONE} if unknown
     * @param swapsBefore swaps that were ordered before the generation
     */
    public VersionLabeler(WeightVersion before, long swapsBefore) {
        mBefore = before;
        mSwapsBefore = swapsBefore;
    }

    /**
     * Takes a part of the answer.
     *
     * @param tokens tokens in the part
     * @param version version named by the engine, or {@link WeightVersion#NONE}
     */
    public void addPart(int tokens, WeightVersion version) {
        if (tokens == 0) {
            return;
        }
        int from = mTokens;
        mTokens += tokens;
        if (version.equals(WeightVersion.NONE)) {
            mIsPartUnnamed = true;
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
     * Ends labelling.
     *
     * @param after version read after the generation, or {@link WeightVersion#NONE} if unknown
     * @param swapsAfter swaps that were ordered before this moment
     * @return spans that cover all tokens, or an empty list if the label is unknown
     */
    public List<VersionSpan> finish(WeightVersion after, long swapsAfter) {
        if (!mIsPartUnnamed) {
            return List.copyOf(mSpans);
        }
        boolean isSteady =
                mSpans.isEmpty()
                        && !mBefore.equals(WeightVersion.NONE)
                        && mBefore.equals(after)
                        && mSwapsBefore == swapsAfter;
        return isSteady ? List.of(new VersionSpan(mBefore, 0, mTokens)) : List.of();
    }

    /**
     * Returns how many tokens came.
     *
     * @return the number of tokens
     */
    public int tokens() {
        return mTokens;
    }
}
