package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.Result;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no field of a request can hold bytes that end it. */
final class RequestFieldsTest {
    private static final long TIMEOUT_MS = 20_000;

    /** Characters that split requests, also those of which only the low byte would be written. */
    private static final String DANGEROUS =
            "\r\n\0 \t\u000B\u007F\u0085\u010A\u010D\u0120\u2028#\"<>\\^`{|}%";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/",
                "/a",
                "/a/",
                "//a//b",
                "/a?",
                "/a?b=c&d",
                "/a?b?c",
                "/a;x=1/b",
                "/%2F%0a",
                "/a:@!$&'()*+,=~"
            })
    void shouldKeepAValidTargetUnchanged(String value) {
        assertThat(RequestTarget.parse("path", value).get().value(), is(value));
    }

    @ParameterizedTest
    @CsvSource({
        "'',begin",
        "a,begin",
        "'/a b',0x20",
        "/%2,0x25",
        "/%zz,0x25",
        "/a#b,0x23",
        "/é,0xE9"
    })
    void shouldNameTheFieldOfAWrongTarget(String value, String reason) {
        String detail = RequestTarget.parse("items[3].path", value).fold(f -> f.detail(), t -> "");
        assertThat(detail, containsString("items[3].path"));
        assertThat(detail, containsString(reason));
    }

    @Test
    void shouldAcceptUsualHostsTokensAndValues() {
        assertThat(HttpField.host("host", "ficu95.example:8080").isOk(), is(true));
        assertThat(HttpField.host("host", "[::1]:80").isOk(), is(true));
        assertThat(HttpField.host("host", "").isOk(), is(false));
        assertThat(HttpField.token("method", "POST").isOk(), is(true));
        assertThat(HttpField.token("method", "PO ST").isOk(), is(false));
        assertThat(HttpField.parse("headers", "Name", "").isOk(), is(true));
        assertThat(HttpField.parse("headers", "Name", "a, \"b\"\t\u00E9").isOk(), is(true));
        assertThat(HttpField.parse("headers", "Na:me", "a").isOk(), is(false));
        assertThat(HttpField.parse("headers", "", "a").isOk(), is(false));
        assertThat(HttpField.parse("headers", "Name", "a\u010Ab").isOk(), is(false));
    }

    private static String mix(Random random, String usual) {
        StringBuilder text = new StringBuilder(usual);
        for (int i = random.nextInt(4); i > 0; i--) {
            char c =
                    random.nextInt(3) == 0
                            ? (char) random.nextInt(0x300)
                            : DANGEROUS.charAt(random.nextInt(DANGEROUS.length()));
            text.insert(random.nextInt(text.length() + 1), c);
        }
        return text.toString();
    }

    private static boolean isSafe(String value, int min) {
        return value.chars().allMatch(c -> (c >= min && c != 0x7F && c <= 0xFF) || c == '\t');
    }

    /** What is accepted is unchanged, and has no byte that the grammar forbids. */
    @Property(seed = "30", tries = 3_000)
    void shouldNeverHoldAByteThatEndsAField(@ForAll long seed) {
        Random random = new Random(seed);
        String path = mix(random, "/a/b?c=d");
        RequestTarget.parse("path", path)
                .map(
                        t -> {
                            assertThat(t.value(), is(path));
                            assertThat(path.matches("/[!-~&&[^\"#<>\\\\^`{|}]]*"), is(true));
                            return t;
                        });
        String value = mix(random, "a b");
        HttpField.parse("headers", "Name", value)
                .map(
                        h -> {
                            assertThat(h.value(), is(value));
                            assertThat(isSafe(value, ' '), is(true));
                            return h;
                        });
        String token = mix(random, "POST");
        HttpField.token("method", token)
                .map(
                        t -> {
                            assertThat(t.matches("[!-~&&[^\"(),/:;<=>?@\\[\\]{}\\\\]]+"), is(true));
                            return t;
                        });
        String host = mix(random, "h.example:1");
        HttpField.host("host", host)
                .map(
                        h -> {
                            assertThat(h.matches("[!-~&&[^/?#@\\\\\"<>]]+"), is(true));
                            return h;
                        });
    }

    /** A second line of defence: whatever a caller passes on, the server sees one request. */
    @Property(seed = "31", tries = 60)
    void shouldSendOneRequestOrNone(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        String smuggled = " HTTP/1.1\r\nHost: h\r\n\r\nGET /smuggled";
        int field = random.nextInt(4);
        String tail = random.nextBoolean() ? smuggled : mix(random, smuggled);
        AtomicInteger requests = new AtomicInteger();
        try (HttpClient http = HttpClient.create();
                KeepAliveServer server =
                        new KeepAliveServer(
                                (head, number) -> {
                                    requests.incrementAndGet();
                                    return KeepAliveServer.response(200, "A: b", "ok");
                                })) {
            HttpRequest request =
                    new HttpRequest(
                            field == 0 ? "GET" + tail : "GET",
                            server.uri(),
                            field == 1 ? "/" + tail : "/",
                            Map.of(
                                    field == 2 ? "Name" + tail : "Name",
                                    field == 3 ? "value" + tail : "value"),
                            new byte[0],
                            TIMEOUT_MS,
                            1_000,
                            false);
            CompletableFuture<Result<HttpResponse>> response = http.collect(request, 1_000);
            Result<HttpResponse> result = response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertThat(result.isOk(), is(false));
            HttpRequest next = HttpRequest.get(server.uri(), "/", TIMEOUT_MS);
            byte[] body =
                    http.collect(next, 1_000).get(TIMEOUT_MS, TimeUnit.MILLISECONDS).get().body();
            assertThat(new String(body, StandardCharsets.US_ASCII), is("ok"));
            assertThat(requests.get(), is(1));
        }
    }
}
