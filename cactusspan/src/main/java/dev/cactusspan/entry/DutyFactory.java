package dev.cactusspan.entry;

import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument.Scaling;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.platform.TargetInterface;
import dev.cactusspan.platform.UsageInterface;
import dev.cactusspan.scaling.HysteresisPolicy;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Creates the duties that the environment document requires. */
final class DutyFactory {
    private final EnvironmentId mEnvironment;
    private final KeyValueService mKeyValues;
    private final UsageInterface mUsage;
    private final TargetInterface mTargetInterface;
    private final Executor mThread;
    private final TargetDirectory mTargets;
    private final LongSupplier mWallMs;
    private final Supplier<Configuration> mConfiguration;

    DutyFactory(
            EnvironmentId environment,
            KeyValueService keyValues,
            UsageInterface usage,
            TargetInterface targetInterface,
            Executor thread,
            TargetDirectory targets,
            LongSupplier wallMs,
            Supplier<Configuration> configuration) {
        mEnvironment = environment;
        mKeyValues = keyValues;
        mUsage = usage;
        mTargetInterface = targetInterface;
        mThread = thread;
        mTargets = targets;
        mWallMs = wallMs;
        mConfiguration = configuration;
    }

    /**
     * Adds the duties of the current document. A duty whose scaling section was removed from the
     * document stays, but does nothing.
     */
    void addAll(DutyManager duties) {
        if (!duties.contains(DutyId.USAGE)) {
            duties.add(
                    new UsageDuty(
                            mEnvironment, mKeyValues, mUsage, mThread, mWallMs, mConfiguration));
        }
        for (Scaling scaling : mConfiguration.get().document().scaling()) {
            DutyId id = DutyId.targets(scaling.service(), scaling.availabilityZone());
            if (!duties.contains(id)) {
                duties.add(newTargetsDuty(id));
            }
        }
    }

    private TargetsDuty newTargetsDuty(DutyId id) {
        return new TargetsDuty(
                mEnvironment,
                id,
                () -> scaling(id),
                mTargets,
                new HysteresisPolicy(HysteresisPolicy.Thresholds.STANDARD),
                mKeyValues,
                mTargetInterface,
                mThread);
    }

    private Optional<Scaling> scaling(DutyId id) {
        return mConfiguration.get().document().scaling().stream()
                .filter(s -> DutyId.targets(s.service(), s.availabilityZone()).equals(id))
                .findFirst();
    }
}
