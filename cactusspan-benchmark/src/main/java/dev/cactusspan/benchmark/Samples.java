package dev.cactusspan.benchmark;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Collects values and computes their percentiles, and draws exponentially distributed values. */
final class Samples {
    private double[] mValues = new double[1024];
    private int mSize;

    static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    void add(double value) {
        if (mSize == mValues.length) {
            mValues = Arrays.copyOf(mValues, mSize * 2);
        }
        mValues[mSize++] = value;
    }

    int size() {
        return mSize;
    }

    double percentile(double percent) {
        if (mSize == 0) {
            return Double.NaN;
        }
        double[] sorted = Arrays.copyOf(mValues, mSize);
        Arrays.sort(sorted);
        return sorted[(int) Math.min(mSize - 1, Math.floor(mSize * percent / 100))];
    }
}
