package dev.cactusspan.benchmark;

import dev.cactusspan.membership.FreshnessRule;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares freshness rules by how long they reject requests needlessly during an outage, and by how
 * long they accept a revoked key behind a network partition. Simulates five regions with one root
 * each, in steps of one second.
 */
final class FreshnessExperiment {
    private static final int REGIONS = 5;
    private static final int RUN_S = 900;
    private static final int FAULT_FROM_S = 100;
    private static final int FAULT_TO_S = 700;
    private static final int REVOKED_S = 200;
    private static final long BOUND_MS = 8_000;

    private FreshnessExperiment() {}

    /** What is unreachable during the fault. */
    private record Fault(boolean platformForAll, boolean platformForFirst, boolean regionLinks) {}

    static void run(PrintStream out) {
        out.println(
                "freshness: 5 regions, fault of 600 s, a key withdrawn after 100 s of it (not in"
                        + " an outage for all), bound 8 s");
        out.printf(
                "%-44s %-22s %20s %16s%n", "fault", "rule", "needless refusals s", "key leaks s");
        Map<String, Fault> faults = new LinkedHashMap<>();
        faults.put("platform down for all", new Fault(true, false, false));
        faults.put("one region cut off from the platform", new Fault(false, true, false));
        faults.put("one region cut off from all", new Fault(false, true, true));
        faults.put("platform down for all, one region cut off", new Fault(true, false, true));
        Map<String, FreshnessRule> rules = new LinkedHashMap<>();
        rules.put("always", FreshnessRule.always());
        rules.put("by age", FreshnessRule.byAge());
        rules.put("unless platform down", FreshnessRule.unlessPlatformIsDown());
        faults.forEach(
                (faultName, fault) ->
                        rules.forEach((rule, r) -> report(out, faultName, fault, rule, r)));
    }

    private static void report(
            PrintStream out, String faultName, Fault fault, String ruleName, FreshnessRule rule) {
        long[] confirmedMs = new long[REGIONS];
        int needless = 0;
        int leaks = 0;
        for (int second = 0; second < RUN_S; second++) {
            boolean isFault = second >= FAULT_FROM_S && second < FAULT_TO_S;
            long nowMs = second * 1_000L;
            for (int region = 0; region < REGIONS; region++) {
                if (!isFault || reachesPlatform(fault, region)) {
                    confirmedMs[region] = nowMs;
                }
            }
            exchange(fault, isFault, confirmedMs);
            for (int region = 0; region < REGIONS; region++) {
                boolean isServing =
                        rule.isFresh(
                                knowledge(fault, isFault, region, confirmedMs, nowMs), BOUND_MS);
                boolean isRevoked = !fault.platformForAll() && second >= REVOKED_S;
                boolean isUnaware = isRevoked && confirmedMs[region] < REVOKED_S * 1_000L;
                leaks += isServing && isUnaware ? 1 : 0;
                needless += !isServing && !isUnaware ? 1 : 0;
            }
        }
        out.printf("%-44s %-22s %20d %16d%n", faultName, ruleName, needless, leaks);
    }

    private static boolean reachesPlatform(Fault fault, int region) {
        return !fault.platformForAll() && !(fault.platformForFirst() && region == 0);
    }

    private static boolean reaches(Fault fault, boolean isFault, int from, int to) {
        return !isFault || !fault.regionLinks() || (from != 0 && to != 0);
    }

    /** Lets each root pass its time of confirmation to the roots that it can reach. */
    private static void exchange(Fault fault, boolean isFault, long[] confirmedMs) {
        long[] sent = confirmedMs.clone();
        for (int from = 0; from < REGIONS; from++) {
            for (int to = 0; to < REGIONS; to++) {
                if (reaches(fault, isFault, from, to)) {
                    confirmedMs[to] = Math.max(confirmedMs[to], sent[from]);
                }
            }
        }
    }

    private static FreshnessRule.Knowledge knowledge(
            Fault fault, boolean isFault, int region, long[] confirmedMs, long nowMs) {
        List<FreshnessRule.RegionStatus> others = new ArrayList<>();
        for (int other = 0; other < REGIONS; other++) {
            if (other != region) {
                boolean isReachable = reaches(fault, isFault, region, other);
                others.add(new FreshnessRule.RegionStatus(isReachable, nowMs - confirmedMs[other]));
            }
        }
        return FreshnessRule.Knowledge.ofRoot(nowMs - confirmedMs[region], others, BOUND_MS);
    }
}
