package dev.cactusspan.forward;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.waiting.Flow;
import dev.cactusspan.waiting.Need;
import dev.cactusspan.waiting.Rank;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import dev.cactusspan.waiting.WaitingWork;
import dev.cactusspan.waiting.WorkOrder;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

/** Client requests in the lines of their services, and their urgency. */
public final class WaitingRequests {
    private final ServiceLines mLines;
    private final Ranks mRanks;

    /**
     * Creates the waiting requests.
     *
     * @param lines the lines
     * @param ranks the ranks of requests
     */
    public WaitingRequests(ServiceLines lines, Ranks ranks) {
        mLines = lines;
        mRanks = ranks;
    }

    /** Has a request wait for a target, unless it does so already. */
    void add(ForwardedRequest pending, BooleanSupplier place) {
        if (!pending.enterLine()) {
            return;
        }
        WorkOrder order =
                new WorkOrder(
                        rank(pending),
                        Need.CLIENT,
                        new Flow(
                                pending.account().orElse(AccountId.of("")), pending.route().name()),
                        pending.arrivedMs() + pending.route().sloMs(),
                        0);
        mLines.add(pending.service(), new Waiting(pending, place), order);
    }

    /** Returns the urgency with which an engine should run a request. */
    OptionalInt urgency(ForwardedRequest pending) {
        return mRanks.urgency(pending.service(), rank(pending));
    }

    private Rank rank(ForwardedRequest pending) {
        return mRanks.of(
                pending.request().hostOnly(), pending.request().pathOnly(), pending.account());
    }

    private record Waiting(ForwardedRequest pending, BooleanSupplier action)
            implements WaitingWork {
        @Override
        public boolean isWaiting() {
            return !pending.isFinished() && !pending.hasActiveAttempt();
        }

        @Override
        public Object needs() {
            return pending;
        }

        @Override
        public boolean place() {
            return action.getAsBoolean();
        }
    }
}
