package dev.cactusspan.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.text.JsonText;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/**
 * Results of the demo.
 *
 * @param requests requests sent by callers
 * @param answered requests with a successful response
 * @param refusedNotRun requests rejected with proof that they were not executed
 * @param outcomeUnknown requests that may have been executed
 * @param failures failed requests by error kind
 * @param wrongAnswers responses that are truncated or belong to another request
 * @param holdsPlaced holds with a successful response or an unknown outcome
 * @param holdsDoubled holds that ran twice
 * @param holdsLost holds with a successful response that did not run
 * @param samplesDelivered distinct samples that the trainer received
 * @param samplesDuplicate samples that were delivered twice
 * @param samplesMissing samples that were not delivered
 * @param samplesWrong incorrect samples, and failed requests of the trainer
 * @param weightVersions weight versions that the samples report
 * @param p50Ms median time of a request
 * @param p99Ms 99th percentile of the time of a request
 */
record DemoReport(
        int requests,
        int answered,
        int refusedNotRun,
        int outcomeUnknown,
        Map<String, Integer> failures,
        int wrongAnswers,
        int holdsPlaced,
        int holdsDoubled,
        int holdsLost,
        int samplesDelivered,
        int samplesDuplicate,
        int samplesMissing,
        int samplesWrong,
        List<Long> weightVersions,
        @JsonProperty("p50_ms") double p50Ms,
        @JsonProperty("p99_ms") double p99Ms) {

    static DemoReport of(DemoCallers callers, DemoTrainer trainer, Map<?, ?> runs) {
        int doubled = (int) runs.values().stream().filter(n -> ((Number) n).intValue() > 1).count();
        int lost =
                (int)
                        callers.holds().entrySet().stream()
                                .filter(h -> h.getValue().equals("placed"))
                                .filter(h -> !runs.containsKey(h.getKey()))
                                .count();
        return new DemoReport(
                callers.requests(),
                callers.answered(),
                callers.refusedNotRun(),
                callers.outcomeUnknown(),
                callers.failures(),
                callers.wrong(),
                callers.holds().size(),
                doubled,
                lost,
                trainer.delivered(),
                trainer.duplicates(),
                trainer.missing(),
                trainer.wrong(),
                trainer.versions().stream().sorted().toList(),
                callers.milliseconds(50),
                callers.milliseconds(99));
    }

    boolean isCorrect() {
        int faults =
                wrongAnswers
                        + holdsDoubled
                        + holdsLost
                        + outcomeUnknown
                        + samplesDuplicate
                        + samplesMissing
                        + samplesWrong;
        return faults == 0 && answered > 0 && weightVersions.size() > 1;
    }

    void print(PrintStream out) {
        out.printf("%-34s %8s%n", "callers", "");
        row(out, "requests", requests);
        row(out, "answered", answered);
        row(out, "refused, not run", refusedNotRun);
        row(out, "outcome unknown", outcomeUnknown);
        failures.forEach((kind, count) -> row(out, "  " + kind, count));
        row(out, "wrong or cut answers", wrongAnswers);
        row(out, "time, median (ms)", p50Ms);
        row(out, "time, 99th percentile (ms)", p99Ms);
        out.printf("%-34s %8s%n", "seat holds", "");
        row(out, "placed", holdsPlaced);
        row(out, "run twice", holdsDoubled);
        row(out, "lost", holdsLost);
        out.printf("%-34s %8s%n", "trainer", "");
        row(out, "samples delivered", samplesDelivered);
        row(out, "samples twice", samplesDuplicate);
        row(out, "samples missing", samplesMissing);
        row(out, "weight versions", weightVersions);
        out.println(JsonText.writeString(this));
    }

    private static void row(PrintStream out, String name, Object value) {
        out.printf("  %-32s %8s%n", name, value);
    }
}
