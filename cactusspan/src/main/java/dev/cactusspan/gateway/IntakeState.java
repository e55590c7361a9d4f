package dev.cactusspan.gateway;

import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.ConnectionCap;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.intake.Refusal;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.settings.GatewaySettings;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * What callers may make a process hold: its budget from its heap, the limits in force from the
 * desired state, and the report of refusals. Thread-safe.
 */
final class IntakeState {
    /** Limits until a desired state is known, as the platform's usual ones. */
    private static final ClientLimits DEFAULT_LIMITS =
            new ClientLimits(16 << 10, 32 << 20, 3_000, 15_000);

    /** Interval at which owned batches are counted, in milliseconds. */
    private static final long COUNT_INTERVAL_MS = 250;

    /**
     * Part of the heap for responses of targets that are being collected: on an entry's heap of 96
     * MB the largest one takes half of it.
     */
    private static final int RESPONSES_HEAP_DIVISOR = 6;

    private final MemoryBudget mBudget;
    private final MemoryBudget mResponses;
    private final IntakeReport mReport;
    private final int mMaxConnections;
    private final LongConsumer mBatchBytes;
    private long mNextCountMs = Long.MIN_VALUE;
    private volatile CallerLimits mLimits;

    private IntakeState(
            MemoryBudget budget, MemoryBudget responses, IntakeReport report, int maxConnections) {
        mBudget = budget;
        mResponses = responses;
        mReport = report;
        mBatchBytes = budget.standing();
        mMaxConnections = maxConnections;
        setLimits(DEFAULT_LIMITS);
    }

    static IntakeState create(GatewaySettings settings, Telemetry telemetry) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        MemoryBudget budget = MemoryBudget.ofHeap(heapBytes);
        telemetry.gauge("caller_memory_limit_bytes", budget::totalBytes);
        telemetry.gauge("caller_memory_bytes", budget::heldBytes);
        telemetry.gauge("caller_memory_peak_bytes", budget::peakBytes);
        MemoryBudget responses = new MemoryBudget(heapBytes / RESPONSES_HEAP_DIVISOR);
        telemetry.gauge("response_memory_limit_bytes", responses::totalBytes);
        telemetry.gauge("response_memory_bytes", responses::heldBytes);
        telemetry.gauge("response_memory_peak_bytes", responses::peakBytes);
        return new IntakeState(
                budget,
                responses,
                report(telemetry, budget),
                ConnectionCap.of(settings.maxFds(), settings.memoryMb(), heapBytes));
    }

    private static IntakeReport report(Telemetry telemetry, MemoryBudget budget) {
        return new IntakeReport(
                refusal -> telemetry.count("callers_refused_total", "reason", refusal.label()),
                (counts, nowMs) -> log(counts, budget));
    }

    private static void log(Map<Refusal, Integer> counts, MemoryBudget budget) {
        Decision line = Decision.of("callers_refused");
        counts.forEach((refusal, count) -> line.with(refusal.label(), count));
        line.with("held_bytes", budget.heldBytes()).with("limit_bytes", budget.totalBytes()).warn();
    }

    void setLimits(ClientLimits limits) {
        mLimits =
                new CallerLimits(
                        mMaxConnections,
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        limits.headerTimeoutMs(),
                        limits.idleTimeoutMs());
    }

    /** Counts the memory of owned batches, at intervals. Called on one thread. */
    void countBatches(long nowMs, LongSupplier bytes) {
        if (nowMs >= mNextCountMs) {
            mNextCountMs = nowMs + COUNT_INTERVAL_MS;
            mBatchBytes.accept(bytes.getAsLong());
        }
    }

    CallerLimits limits() {
        return mLimits;
    }

    MemoryBudget budget() {
        return mBudget;
    }

    /** Returns the memory for responses of targets that are being collected. */
    MemoryBudget responses() {
        return mResponses;
    }

    IntakeReport report() {
        return mReport;
    }
}
