package dev.cactusspan.fleet;

import dev.cactusspan.id.ServiceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rates at which permits for cold targets are issued. A cold target fails above a number of
 * requests in any second, summed over all processes, in contact or not. The rate stays so far below
 * it that three issuers at once, which different processes believe to be the one, keep the bound:
 * each issues for the second itself and for the lifetime of the permits before it. Load pattern:
 * processes are restarted in turn and cut off while a zone's targets come back cold.
 */
public final class ColdRates {
    /** No service has a bound. */
    public static final ColdRates NONE = new ColdRates(List.of(), 1);

    /**
     * Part of the allowed rate that one issuer uses: three issuers, for 1.3 s each, in any second.
     */
    static final double ISSUER_PARTS = 3 * (1 + RequestAllowance.COLD_PERMIT_TTL_MS / 1_000.0);

    private final Map<ServiceId, FleetService> mServices = new HashMap<>();
    private final double mOverage;

    private ColdRates(List<FleetService> services, double overage) {
        services.forEach(s -> mServices.put(s.name(), s));
        mOverage = overage;
    }

    /**
     * Creates the rates.
     *
     * @param services services of the desired state
     * @param overage how many times the rate of a service its cold targets may get
     * @return the rates
     */
    public static ColdRates of(List<FleetService> services, double overage) {
        return new ColdRates(services, Math.max(1, overage));
    }

    /**
     * Returns the rate at which one issuer issues permits for a cold target.
     *
     * @param service the service of the target
     * @return permits per second, zero if its targets have no bound
     */
    double issuedPerS(ServiceId service) {
        FleetService known = mServices.get(service);
        return known == null ? 0 : known.coldPerS() * mOverage / ISSUER_PARTS;
    }

    /**
     * Returns how long targets of a service are cold after they start.
     *
     * @param service the service
     * @return milliseconds, zero if unknown
     */
    long coldStartMs(ServiceId service) {
        FleetService known = mServices.get(service);
        return known == null ? 0 : known.coldStartMs();
    }
}
