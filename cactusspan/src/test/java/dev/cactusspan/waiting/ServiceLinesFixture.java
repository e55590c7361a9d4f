package dev.cactusspan.waiting;

import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.forward.WaitingRequests;
import dev.cactusspan.store.ManualThread;
import java.util.Optional;

/** Lines for tests of what waits in them. */
public final class ServiceLinesFixture {
    private ServiceLinesFixture() {}

    public static ServiceLines lines(TargetTable targets, ManualThread thread) {
        ServiceLines lines = new ServiceLines(thread, targets::nextPlaceMs, thread::nowMs);
        targets.setPlaceListener(lines::wake);
        return lines;
    }

    public static WaitingRequests requests(TargetTable targets, ManualThread thread) {
        return new WaitingRequests(lines(targets, thread), new Ranks(Optional::empty));
    }
}
