package dev.cactusspan.entry;

/** Routes of the HTTP API for callers and trainers, as published in {@code openapi.json}. */
enum ApiRoute {
    /** Completes a prompt. */
    COMPLETIONS("POST", "/v1/completions"),
    /** Completes a chat. */
    CHAT_COMPLETIONS("POST", "/v1/chat/completions"),
    /** Forwards a GET to a plain service. */
    SERVICE_GET("GET", "/v1/services/{service}/{path}"),
    /** Forwards a POST to a plain service. */
    SERVICE_POST("POST", "/v1/services/{service}/{path}"),
    /** Forwards a PUT to a plain service. */
    SERVICE_PUT("PUT", "/v1/services/{service}/{path}"),
    /** Forwards a DELETE to a plain service. */
    SERVICE_DELETE("DELETE", "/v1/services/{service}/{path}"),
    /** Submits a step of a trainer. */
    SUBMIT_STEP("POST", "/v1/trainers/{trainer}/steps"),
    /** Polls for the delivery after the one that the trainer holds. */
    GET_DELIVERY("GET", "/v1/trainers/{trainer}/deliveries"),
    /** Acknowledges a delivery. */
    ACKNOWLEDGE("POST", "/v1/trainers/{trainer}/acknowledgements"),
    /** Publishes the desired weight versions of a model. */
    PUBLISH_WEIGHTS("POST", "/v1/models/{model}/weights");

    private final String mMethod;
    private final String mPath;

    ApiRoute(String method, String path) {
        mMethod = method;
        mPath = path;
    }

    String method() {
        return mMethod;
    }

    String path() {
        return mPath;
    }
}
