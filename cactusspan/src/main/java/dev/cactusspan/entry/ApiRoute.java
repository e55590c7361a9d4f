package dev.cactusspan.entry;

/** The routes of the interface towards callers and trainers, as in {@code openapi.json}. */
enum ApiRoute {
    /** Completion of a prompt. */
    COMPLETIONS("POST", "/v1/completions"),
    /** Completion of a chat. */
    CHAT_COMPLETIONS("POST", "/v1/chat/completions"),
    /** Read from a plain service. */
    SERVICE_GET("GET", "/v1/services/{service}/{path}"),
    /** Call of a plain service. */
    SERVICE_POST("POST", "/v1/services/{service}/{path}"),
    /** Replacement at a plain service. */
    SERVICE_PUT("PUT", "/v1/services/{service}/{path}"),
    /** Removal at a plain service. */
    SERVICE_DELETE("DELETE", "/v1/services/{service}/{path}"),
    /** A trainer submits a step. */
    SUBMIT_STEP("POST", "/v1/trainers/{trainer}/steps"),
    /** A trainer asks for the delivery after the one it holds. */
    GET_DELIVERY("GET", "/v1/trainers/{trainer}/deliveries"),
    /** A trainer acknowledges a delivery. */
    ACKNOWLEDGE("POST", "/v1/trainers/{trainer}/acknowledgements"),
    /** A trainer publishes weights. */
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
