package dev.cactusspan.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TrainerId;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The operators' document for one environment.
 *
 * @param environment name of the environment
 * @param availabilityZones the availability zones and their regions
 * @param models services whose targets are model engines
 * @param services services whose targets are plain services
 * @param accounts the client accounts
 * @param routes who may call what
 * @param scaling how many targets each service may have
 * @param trainers the trainers
 * @param bounds bounds for all requests
 */
public record EnvironmentDocument(
        EnvironmentId environment,
        List<Zone> availabilityZones,
        List<Model> models,
        List<Service> services,
        List<Account> accounts,
        List<Route> routes,
        List<Scaling> scaling,
        List<Trainer> trainers,
        Bounds bounds) {

    /** Fills in absent parts. */
    public EnvironmentDocument {
        scaling = scaling == null ? List.of() : scaling;
    }

    /**
     * Finds a client account.
     *
     * @param id its id
     * @return the account, if declared
     */
    public Optional<Account> account(AccountId id) {
        return accounts.stream().filter(a -> a.name().equals(id)).findFirst();
    }

    /**
     * Finds a model.
     *
     * @param id its id
     * @return the model, if declared
     */
    public Optional<Model> model(ServiceId id) {
        return models.stream().filter(m -> m.name().equals(id)).findFirst();
    }

    /**
     * Finds a trainer.
     *
     * @param id its id
     * @return the trainer, if declared
     */
    public Optional<Trainer> trainer(TrainerId id) {
        return trainers.stream().filter(t -> t.name().equals(id)).findFirst();
    }

    /**
     * An availability zone.
     *
     * @param name its name
     * @param region the region it lies in
     */
    public record Zone(AvailabilityZoneId name, RegionId region) {}

    /**
     * A model.
     *
     * @param name its name
     * @param stalenessBoundVersions how many versions a sample may be behind at hand-over
     */
    public record Model(ServiceId name, long stalenessBoundVersions) {}

    /**
     * A plain service.
     *
     * @param name its name
     */
    public record Service(ServiceId name) {}

    /**
     * A client account.
     *
     * @param name its name
     * @param keyHashes hashes of the keys in force
     * @param weight share of a contended target, relative to other accounts
     * @param requestsPerS sustained rate over all entries
     * @param burstRequests size of a burst above the rate
     * @param maxInFlight requests in progress over all entries
     */
    public record Account(
            AccountId name,
            List<KeyHash> keyHashes,
            int weight,
            double requestsPerS,
            int burstRequests,
            int maxInFlight) {}

    /** What a route leads to. */
    public enum RouteKind {
        /** Completions of a model. */
        @JsonProperty("completions")
        COMPLETIONS,
        /** Paths of a plain service. */
        @JsonProperty("service")
        SERVICE
    }

    /** Class of a request, in order of priority. */
    public enum RequestClass {
        /** A person waits for the answer. */
        @JsonProperty("interactive")
        INTERACTIVE,
        /** Must not run twice. */
        @JsonProperty("non_idempotent")
        NON_IDEMPOTENT,
        /** A sample for a trainer. */
        @JsonProperty("rollout")
        ROLLOUT;

        /**
         * Returns the name used in documents and metrics.
         *
         * @return the name in lower case
         */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Who may call what.
     *
     * @param name its name
     * @param kind what it leads to
     * @param service the model or service
     * @param methods allowed methods; empty for all
     * @param path prefix of the path at the service; the longest match counts
     * @param requestClass class of its requests
     * @param accounts accounts that may use it; {@code *} for all
     * @param open true if no key is needed
     * @param deadlineMs deadline of a request, or zero for the bound of the environment
     * @param statusCheckPath path at the target that tells whether a key has run, or empty
     */
    public record Route(
            RouteId name,
            RouteKind kind,
            ServiceId service,
            List<String> methods,
            String path,
            @JsonProperty("class") RequestClass requestClass,
            List<AccountId> accounts,
            boolean open,
            long deadlineMs,
            String statusCheckPath) {

        private static final AccountId ALL = AccountId.of("*");

        /** Fills in the values of absent fields. */
        public Route {
            methods = methods == null ? List.of() : methods;
            path = path == null ? "/" : path;
            statusCheckPath = statusCheckPath == null ? "" : statusCheckPath;
        }

        /**
         * Tells whether an account may use the route.
         *
         * @param account the account
         * @return true if it may
         */
        public boolean isAllowed(AccountId account) {
            return accounts.contains(ALL) || accounts.contains(account);
        }
    }

    /**
     * How many targets a service may have in an availability zone.
     *
     * @param service the model or service
     * @param availabilityZone the availability zone
     * @param minTargets targets at least
     * @param maxTargets targets at most
     */
    public record Scaling(
            ServiceId service,
            AvailabilityZoneId availabilityZone,
            int minTargets,
            int maxTargets) {}

    /**
     * A trainer.
     *
     * @param name its name
     * @param account the client account it calls with
     * @param model the model it trains
     * @param deliverySamples samples in one delivery at most
     */
    public record Trainer(TrainerId name, AccountId account, ServiceId model, int deliverySamples) {
        private static final int DEFAULT_DELIVERY_SAMPLES = 64;

        /** Fills in the values of absent fields. */
        public Trainer {
            deliverySamples = deliverySamples == 0 ? DEFAULT_DELIVERY_SAMPLES : deliverySamples;
        }
    }

    /**
     * Bounds for all requests.
     *
     * @param bodyBytes size of a request body
     * @param answerBytes size of an answer that is kept whole
     * @param requestDeadlineMs deadline of a request without one of its own
     * @param claimTtlS how long a claim is kept
     * @param configAgeMs age of the configuration at which keyed routes are refused
     * @param usageWindowS length of a usage window
     * @param retries further tries of one request
     * @param retryBudgetPercent retries allowed for each hundred requests
     */
    public record Bounds(
            int bodyBytes,
            int answerBytes,
            long requestDeadlineMs,
            long claimTtlS,
            long configAgeMs,
            long usageWindowS,
            int retries,
            int retryBudgetPercent) {
        private static final long DEFAULT_USAGE_WINDOW_S = 60;

        /** Fills in the values of absent fields. */
        public Bounds {
            usageWindowS = usageWindowS == 0 ? DEFAULT_USAGE_WINDOW_S : usageWindowS;
        }
    }
}
