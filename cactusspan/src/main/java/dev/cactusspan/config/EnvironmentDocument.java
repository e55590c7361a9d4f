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
 * The document with which operators configure one environment.
 *
 * @param environment name of the environment
 * @param availabilityZones the availability zones and their regions
 * @param models services whose targets are model engines
 * @param services services whose targets are plain services
 * @param accounts the client accounts
 * @param routes which accounts may call which services
 * @param scaling bounds of the number of targets of each service
 * @param trainers the trainers
 * @param bounds limits for all requests
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

    /** Fills in the values of absent fields. */
    public EnvironmentDocument {
        scaling = scaling == null ? List.of() : scaling;
    }

    /**
     * Returns a client account.
     *
     * @param id its id
     * @return the account, if declared
     */
    public Optional<Account> account(AccountId id) {
        return accounts.stream().filter(a -> a.name().equals(id)).findFirst();
    }

    /**
     * Returns a model.
     *
     * @param id its id
     * @return the model, if declared
     */
    public Optional<Model> model(ServiceId id) {
        return models.stream().filter(m -> m.name().equals(id)).findFirst();
    }

    /**
     * Returns a trainer.
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
     * @param region the region that contains it
     */
    public record Zone(AvailabilityZoneId name, RegionId region) {}

    /**
     * A model.
     *
     * @param name its name
     * @param stalenessBoundVersions how many versions a sample may be behind at delivery
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
     * @param keyHashes hashes of the valid keys
     * @param weight share of a contended target relative to other accounts
     * @param requestsPerS sustained requests per second over all entries
     * @param burstRequests size of a burst above the rate
     * @param maxInFlight maximum number of requests in progress over all entries
     */
    public record Account(
            AccountId name,
            List<KeyHash> keyHashes,
            int weight,
            double requestsPerS,
            int burstRequests,
            int maxInFlight) {}

    /** The kind of service that a route leads to. */
    public enum RouteKind {
        /** Completions of a model. */
        @JsonProperty("completions")
        COMPLETIONS,
        /** Paths of a plain service. */
        @JsonProperty("service")
        SERVICE
    }

    /** Class of a request, in descending order of priority. */
    public enum RequestClass {
        /** A person waits for the response. */
        @JsonProperty("interactive")
        INTERACTIVE,
        /** The request must not be executed twice. */
        @JsonProperty("non_idempotent")
        NON_IDEMPOTENT,
        /** The request produces a sample for a trainer. */
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
     * A route: which accounts may call which paths of a service.
     *
     * @param name its name
     * @param kind the kind of service that it leads to
     * @param service the model or service
     * @param methods allowed methods; empty for all
     * @param path prefix of the path at the service; the route with the longest match is used
     * @param requestClass class of its requests
     * @param accounts accounts that may use it; {@code *} for all
     * @param open true if no key is needed
     * @param deadlineMs deadline of a request, or zero for the bound of the environment
     * @param statusCheckPath path at the target that reports whether the request of an idempotency
     *     key was executed, or empty
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
         * Returns whether an account may use the route.
         *
         * @param account the account
         * @return true if it may
         */
        public boolean isAllowed(AccountId account) {
            return accounts.contains(ALL) || accounts.contains(account);
        }
    }

    /**
     * Bounds of the number of targets that a service has in an availability zone.
     *
     * @param service the model or service
     * @param availabilityZone the availability zone
     * @param minTargets minimum number of targets
     * @param maxTargets maximum number of targets
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
     * @param deliverySamples maximum number of samples in one delivery
     */
    public record Trainer(TrainerId name, AccountId account, ServiceId model, int deliverySamples) {
        private static final int DEFAULT_DELIVERY_SAMPLES = 64;

        /** Fills in the values of absent fields. */
        public Trainer {
            deliverySamples = deliverySamples == 0 ? DEFAULT_DELIVERY_SAMPLES : deliverySamples;
        }
    }

    /**
     * Limits for all requests.
     *
     * @param bodyBytes maximum size of a request body
     * @param answerBytes maximum size of a response that is buffered until it is complete
     * @param requestDeadlineMs deadline of a request without a deadline of its own
     * @param claimTtlS how long a claim is kept, in seconds
     * @param configAgeMs age of the configuration from which requests to routes that need a key are
     *     refused
     * @param usageWindowS length of a usage window in seconds
     * @param retries maximum number of retries of one request
     * @param retryBudgetPercent retries allowed per hundred requests
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
