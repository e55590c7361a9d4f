package dev.cactusspan.entry;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.settings.EntrySettings;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;

/** Creates the HTTP server for callers and trainers. */
final class ApiServer {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_HEADERS = 100;
    private static final int MAX_PARAMETERS = 100;
    private static final int IDLE_TIMEOUT_MS = 120_000;
    private static final String WILDCARD = "*";

    private ApiServer() {}

    static Undertow create(EntrySettings settings, CallerApi callers, TrainerApi trainers) {
        return Undertow.builder()
                .addHttpListener(settings.httpPort(), settings.ip())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setHandler(routingHandler(callers, trainers))
                .build();
    }

    private static HttpHandler routingHandler(CallerApi callers, TrainerApi trainers) {
        RoutingHandler routing = new RoutingHandler();
        for (ApiRoute route : ApiRoute.values()) {
            String template = route.path().replace("{path}", WILDCARD);
            routing.add(route.method(), template, handler(route, callers, trainers));
        }
        HttpHandler absent =
                e ->
                        HttpResponses.respondFailure(
                                e, Failure.of(ErrorKind.NOT_FOUND, "no such route"));
        return routing.setFallbackHandler(absent).setInvalidMethodHandler(absent);
    }

    private static HttpHandler handler(ApiRoute route, CallerApi callers, TrainerApi trainers) {
        return switch (route) {
            case COMPLETIONS, CHAT_COMPLETIONS -> callers::completions;
            case SERVICE_GET, SERVICE_POST, SERVICE_PUT, SERVICE_DELETE -> callers::service;
            case SUBMIT_STEP -> trainers::submit;
            case GET_DELIVERY -> trainers::deliveries;
            case ACKNOWLEDGE -> trainers::acknowledge;
            case PUBLISH_WEIGHTS -> trainers::publishWeights;
        };
    }
}
