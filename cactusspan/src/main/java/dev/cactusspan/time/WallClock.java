package dev.cactusspan.time;

/**
 * The time of day, which may jump by seconds and differ between VMs. It decides only what the rules
 * of a platform name by the time of day, such as usage windows. Durations, deadlines and leases use
 * the steady clock, a {@code LongSupplier}.
 */
@FunctionalInterface
public interface WallClock {

    /**
     * Returns the clock of this VM.
     *
     * @return the clock
     */
    static WallClock ofSystem() {
        return System::currentTimeMillis;
    }

    /**
     * Returns the time of day.
     *
     * @return milliseconds since the start of 1970
     */
    long wallMs();
}
