package dev.cactusspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.text.SchemaCheck;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Reads environment documents and reports all their problems together. */
public final class DocumentReader {
    private static final SchemaCheck SCHEMA =
            SchemaCheck.of("/dev/cactusspan/config/environment.schema.json");
    private static final int MAX_DOCUMENT_BYTES = 1_000_000;

    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param origin name of the text for messages
     * @param text JSON with comments
     * @return the document, or {@code bad_request} with one problem a line
     */
    public static Result<EnvironmentDocument> read(String origin, String text) {
        if (text.length() > MAX_DOCUMENT_BYTES) {
            return Result.fail(
                    ErrorKind.PAYLOAD_TOO_LARGE,
                    origin + ": expected at most " + MAX_DOCUMENT_BYTES + " bytes");
        }
        return JsonText.parse(origin, text).flatMap(tree -> check(origin, tree));
    }

    private static Result<EnvironmentDocument> check(String origin, JsonNode tree) {
        List<String> problems = new ArrayList<>(SCHEMA.problems(tree));
        if (!problems.isEmpty()) {
            return refuse(origin, problems);
        }
        EnvironmentDocument document;
        try {
            document = JsonText.mapper().convertValue(tree, EnvironmentDocument.class);
        } catch (IllegalArgumentException e) {
            return refuse(origin, List.of(String.valueOf(e.getMessage()).replace('\n', ' ')));
        }
        problems.addAll(checkReferences(document));
        return problems.isEmpty() ? Result.of(document) : refuse(origin, problems);
    }

    private static Result<EnvironmentDocument> refuse(String origin, List<String> problems) {
        List<String> lines = problems.stream().map(p -> origin + ": " + p).toList();
        return Result.fail(ErrorKind.BAD_REQUEST, String.join("\n", lines));
    }

    private static List<String> checkReferences(EnvironmentDocument document) {
        List<String> problems = new ArrayList<>();
        checkUnique("$.availability_zones", document.availabilityZones(), z -> z.name(), problems);
        checkUnique("$.accounts", document.accounts(), a -> a.name(), problems);
        checkUnique("$.routes", document.routes(), r -> r.name(), problems);
        checkUnique("$.trainers", document.trainers(), t -> t.name(), problems);
        checkUnique(
                "$.scaling",
                document.scaling(),
                s -> s.service() + " in " + s.availabilityZone(),
                problems);
        List<Object> pools = new ArrayList<>();
        document.models().forEach(m -> pools.add(m.name()));
        document.services().forEach(s -> pools.add(s.name()));
        checkUnique("$.models and $.services", pools, p -> p, problems);
        checkKeys(document, problems);
        for (int i = 0; i < document.routes().size(); i++) {
            checkRoute(document, "$.routes[" + i + "]", document.routes().get(i), problems);
        }
        for (int i = 0; i < document.trainers().size(); i++) {
            checkTrainer(document, "$.trainers[" + i + "]", document.trainers().get(i), problems);
        }
        for (int i = 0; i < document.scaling().size(); i++) {
            checkScaling(document, "$.scaling[" + i + "]", document.scaling().get(i), problems);
        }
        return problems;
    }

    private static <T> void checkUnique(
            String path, List<T> items, Function<T, Object> name, List<String> problems) {
        Set<Object> seen = new HashSet<>();
        for (T item : items) {
            if (!seen.add(name.apply(item))) {
                problems.add(path + ": name " + name.apply(item) + " is declared twice");
            }
        }
    }

    private static void checkKeys(EnvironmentDocument document, List<String> problems) {
        Set<KeyHash> seen = new HashSet<>();
        for (int i = 0; i < document.accounts().size(); i++) {
            for (KeyHash hash : document.accounts().get(i).keyHashes()) {
                if (!seen.add(hash)) {
                    problems.add("$.accounts[" + i + "].key_hashes: a hash is declared twice");
                }
            }
        }
    }

    private static void checkRoute(
            EnvironmentDocument document,
            String path,
            EnvironmentDocument.Route route,
            List<String> problems) {
        boolean isModel = document.model(route.service()).isPresent();
        boolean isService =
                document.services().stream().anyMatch(s -> s.name().equals(route.service()));
        boolean isCompletions = route.kind() == EnvironmentDocument.RouteKind.COMPLETIONS;
        if (isCompletions && !isModel) {
            problems.add(path + ".service: model " + route.service() + " is not declared");
        }
        if (!isCompletions && !isService) {
            problems.add(path + ".service: service " + route.service() + " is not declared");
        }
        for (AccountId account : route.accounts()) {
            if (!account.value().equals("*") && document.account(account).isEmpty()) {
                problems.add(path + ".accounts: account " + account + " is not declared");
            }
        }
        if (route.deadlineMs() > document.bounds().requestDeadlineMs()) {
            problems.add(path + ".deadline_ms: is over $.bounds.request_deadline_ms");
        }
        boolean isAtMostOnce =
                route.requestClass() == EnvironmentDocument.RequestClass.NON_IDEMPOTENT;
        if (route.open() && isAtMostOnce) {
            problems.add(path + ".open: a non_idempotent route needs a client account");
        }
        if (isAtMostOnce
                && document.bounds().claimTtlS() * 1000 < document.bounds().requestDeadlineMs()) {
            problems.add("$.bounds.claim_ttl_s: is shorter than $.bounds.request_deadline_ms");
        }
        if (!route.statusCheckPath().isEmpty() && !isAtMostOnce) {
            problems.add(path + ".status_check_path: only a non_idempotent route has one");
        }
    }

    private static void checkScaling(
            EnvironmentDocument document,
            String path,
            EnvironmentDocument.Scaling scaling,
            List<String> problems) {
        boolean isZone =
                document.availabilityZones().stream()
                        .anyMatch(z -> z.name().equals(scaling.availabilityZone()));
        if (!isZone) {
            problems.add(
                    path
                            + ".availability_zone: "
                            + scaling.availabilityZone()
                            + " is not declared");
        }
        if (!isDeclared(document, scaling.service())) {
            problems.add(path + ".service: " + scaling.service() + " is not declared");
        }
        if (scaling.minTargets() > scaling.maxTargets()) {
            problems.add(path + ".min_targets: is over max_targets");
        }
    }

    private static boolean isDeclared(EnvironmentDocument document, ServiceId service) {
        return document.model(service).isPresent()
                || document.services().stream().anyMatch(s -> s.name().equals(service));
    }

    private static void checkTrainer(
            EnvironmentDocument document,
            String path,
            EnvironmentDocument.Trainer trainer,
            List<String> problems) {
        if (document.account(trainer.account()).isEmpty()) {
            problems.add(path + ".account: account " + trainer.account() + " is not declared");
        }
        if (document.model(trainer.model()).isEmpty()) {
            problems.add(path + ".model: model " + trainer.model() + " is not declared");
        }
    }
}
