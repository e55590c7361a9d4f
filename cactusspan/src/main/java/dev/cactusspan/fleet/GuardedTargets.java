package dev.cactusspan.fleet;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Result;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Sends requests through another port while the knowledge that they rest on is current. A send that
 * is withheld looks like a refusal of its target, which proves that nothing has run.
 */
public final class GuardedTargets implements TargetPort {
    private static final int UNAVAILABLE = 503;

    private static final ResponseHead WITHHELD =
            new ResponseHead(
                    UNAVAILABLE,
                    Map.of(),
                    "",
                    true,
                    true,
                    true,
                    WeightVersion.NONE,
                    false,
                    OptionalDouble.empty(),
                    false);

    private final TargetPort mPort;
    private final BooleanSupplier mIsCurrent;
    private final String mKnowledge;
    private final Telemetry mTelemetry;
    private final Executor mThread;

    /**
     * Creates the port.
     *
     * @param port sends the requests
     * @param isCurrent whether what the requests rest on may be acted on now
     * @param knowledge name of that in metrics
     * @param telemetry counts the sends that are withheld
     * @param thread the thread on which listeners are called
     */
    public GuardedTargets(
            TargetPort port,
            BooleanSupplier isCurrent,
            String knowledge,
            Telemetry telemetry,
            Executor thread) {
        mPort = port;
        mIsCurrent = isCurrent;
        mKnowledge = knowledge;
        mTelemetry = telemetry;
        mThread = thread;
    }

    @Override
    public Runnable send(TargetRecord target, TargetRequest request, TargetListener listener) {
        if (mIsCurrent.getAsBoolean()) {
            return mPort.send(target, request, listener);
        }
        mTelemetry.count("sends_withheld_total", "knowledge", mKnowledge);
        mThread.execute(
                () -> {
                    listener.onHead(WITHHELD);
                    listener.onEnd();
                });
        return () -> {};
    }

    @Override
    public EventDecoder newDecoder() {
        return mPort.newDecoder();
    }

    @Override
    public CompletableFuture<Result<TargetLoad>> load(TargetRecord target) {
        return mPort.load(target);
    }

    @Override
    public CompletableFuture<Result<OrderOutcome>> orderVersion(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            VmId holder,
            FencingNumber fencing,
            long expectedOrders) {
        return mPort.orderVersion(target, model, version, holder, fencing, expectedOrders);
    }
}
