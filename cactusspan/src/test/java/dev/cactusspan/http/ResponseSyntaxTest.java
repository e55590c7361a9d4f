package dev.cactusspan.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The grammar does not depend on how the bytes of a response arrive. */
final class ResponseSyntaxTest {
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    private static final String CHUNKED_HEAD =
            "HTTP/1.1 404 \r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> RESPONSES =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nName: value\r\n\r\nok",
                    CHUNKED_HEAD + "2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
                    "HTTP/1.0 200 OK\r\nServer-Stamp: s\r\n\r\na body to the end",
                    INTERIM + "HTTP/1.1 204 No Content\r\n\r\n",
                    INTERIM + INTERIM + "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");

    /** Checks bytes in parts; returns what came of them, with the bytes that the parser gets. */
    private static String outcome(byte[] response, Random parts, int maxPartBytes) {
        ResponseSyntax syntax = new ResponseSyntax();
        syntax.startResponse(true);
        ByteBuffer bytes = ByteBuffer.wrap(response.clone());
        try {
            for (int at = 0; at < response.length; ) {
                int end = Math.min(response.length, at + 1 + parts.nextInt(maxPartBytes));
                syntax.accept(bytes, at, end);
                at = end;
            }
        } catch (MalformedResponseException e) {
            return e.getMessage();
        }
        return String.join(
                "|",
                Boolean.toString(syntax.isAtEnd()),
                Boolean.toString(syntax.endsWithConnection()),
                Long.toString(syntax.keptBytes()),
                new String(bytes.array(), ISO_8859_1));
    }

    private static byte[] mutate(Random random) {
        StringBuilder text = new StringBuilder(RESPONSES.get(random.nextInt(RESPONSES.size())));
        for (int i = random.nextInt(3); i > 0; i--) {
            int at = random.nextInt(text.length());
            switch (random.nextInt(3)) {
                case 0 -> text.deleteCharAt(at);
                case 1 -> text.insert(at, (char) random.nextInt(256));
                default -> text.setCharAt(at, (char) random.nextInt(256));
            }
        }
        return text.toString().getBytes(ISO_8859_1);
    }

    @Property(seed = "4402", tries = 1_000)
    void shouldJudgeTheSameBytesAlikeInAnyParts(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] response = mutate(random);
        String whole = outcome(response, random, 1 << 20);
        assertThat(outcome(response, random, 1), is(whole));
        assertThat(outcome(response, random, 7), is(whole));
    }

    @Test
    void shouldAcceptEachOfTheResponses() {
        for (String response : RESPONSES) {
            String outcome = outcome(response.getBytes(ISO_8859_1), new Random(1), 3);
            String skipped = response.replace("HTTP/1.1 103", "HTTP/1.1 100");
            boolean endsWithConnection = response.startsWith("HTTP/1.0");
            assertThat(
                    outcome.replaceFirst("\\|[0-9]+\\|", "|"),
                    is(!endsWithConnection + "|" + endsWithConnection + "|" + skipped));
        }
    }
}
