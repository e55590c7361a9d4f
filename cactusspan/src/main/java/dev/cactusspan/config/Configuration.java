package dev.cactusspan.config;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A document in force with its revision, indexed for lookups. */
public final class Configuration {
    private final Revision mRevision;
    private final String mText;
    private final EnvironmentDocument mDocument;
    private final Map<KeyHash, AccountId> mAccountsByKey;

    private Configuration(Revision revision, String text, EnvironmentDocument document) {
        mRevision = revision;
        mText = text;
        mDocument = document;
        mAccountsByKey = new HashMap<>();
        for (EnvironmentDocument.Account account : document.accounts()) {
            account.keyHashes().forEach(hash -> mAccountsByKey.put(hash, account.name()));
        }
    }

    /**
     * Reads a stored document.
     *
     * @param stored text and revision
     * @return the configuration, or why the text is refused
     */
    public static Result<Configuration> of(StoredDocument stored) {
        return DocumentReader.read("revision " + stored.revision(), stored.text())
                .map(d -> new Configuration(stored.revision(), stored.text(), d));
    }

    // Operations

    /**
     * Finds the account of a key. The index is by SHA-256 of the key, so that its lookup time tells
     * nothing about stored keys; the match itself is compared in constant time.
     *
     * @param key the caller's key, empty if none came
     * @return the account, or {@code unauthenticated}
     */
    public Result<AccountId> authenticate(String key) {
        if (key.isEmpty()) {
            return Result.fail(ErrorKind.UNAUTHENTICATED, "expected a bearer key");
        }
        KeyHash hash = KeyHash.ofKey(key);
        AccountId account = mAccountsByKey.get(hash);
        if (account == null) {
            return Result.fail(ErrorKind.UNAUTHENTICATED, "the key is not valid");
        }
        return Result.of(account);
    }

    /**
     * Tells whether a key hash is in force for an account.
     *
     * @param hash hash of the caller's key
     * @param account the account
     * @return true if the key may still be used
     */
    public boolean isKeyValid(KeyHash hash, AccountId account) {
        return account.equals(mAccountsByKey.get(hash));
    }

    /**
     * Finds the route for completions of a model.
     *
     * @param model the model
     * @return the route, if declared
     */
    public Optional<EnvironmentDocument.Route> completionsRoute(ServiceId model) {
        return mDocument.routes().stream()
                .filter(r -> r.kind() == EnvironmentDocument.RouteKind.COMPLETIONS)
                .filter(r -> r.service().equals(model))
                .findFirst();
    }

    /**
     * Finds the route of a plain service with the longest matching path.
     *
     * @param service the service
     * @param method HTTP method
     * @param path path at the service
     * @return the route, if declared
     */
    public Optional<EnvironmentDocument.Route> serviceRoute(
            ServiceId service, String method, String path) {
        return mDocument.routes().stream()
                .filter(r -> r.kind() == EnvironmentDocument.RouteKind.SERVICE)
                .filter(r -> r.service().equals(service))
                .filter(r -> r.methods().isEmpty() || r.methods().contains(method))
                .filter(r -> isPrefix(r.path(), path))
                .max(Comparator.comparingInt(r -> r.path().length()));
    }

    private static boolean isPrefix(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/")
                || path.length() == prefix.length()
                || path.charAt(prefix.length()) == '/';
    }

    // Accessors

    /**
     * Returns the revision.
     *
     * @return the revision
     */
    public Revision revision() {
        return mRevision;
    }

    /**
     * Returns the text as stored.
     *
     * @return JSON with comments
     */
    public String text() {
        return mText;
    }

    /**
     * Returns the document.
     *
     * @return the document
     */
    public EnvironmentDocument document() {
        return mDocument;
    }
}
