package dev.cactusspan.platform;

import dev.cactusspan.http.HttpCall;
import dev.cactusspan.http.HttpCaller;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's VM list, which lags behind the truth. */
public final class VmListClient {
    private static final long TIMEOUT_MS = 3_000;
    private static final int MAX_LIST_BYTES = 4 << 20;

    private final HttpCaller mHttp;
    private final URI mServer;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform
     */
    public VmListClient(HttpCaller http, URI server) {
        mHttp = http;
        mServer = server;
    }

    /**
     * Reads the list.
     *
     * @param environment the environment
     * @return its VMs, or {@code platform_unavailable}
     */
    public CompletableFuture<Result<List<VmRecord>>> list(EnvironmentId environment) {
        return mHttp.collect(
                        HttpCall.get(mServer, "/vms?environment=" + environment, TIMEOUT_MS),
                        MAX_LIST_BYTES)
                .thenApply(
                        r ->
                                r.flatMap(
                                        answer ->
                                                answer.isSuccess()
                                                        ? JsonText.read(
                                                                answer.body(), VmRecord[].class)
                                                        : Result.fail(
                                                                ErrorKind.PLATFORM_UNAVAILABLE,
                                                                "VM list: " + answer.status())))
                .thenApply(r -> r.map(List::of));
    }
}
