package dev.cactusspan.observe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class AdminServerTest {
    private static final int TIMEOUT_MS = 20_000;

    @Test
    void shouldAnswerAnUnknownPathWithoutReadingItsTrailers() throws IOException {
        String request =
                "POST /nowhere HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\nx\r\n0\r\nx-endless";
        try (AdminServer server =
                new AdminServer("127.0.0.1", 0, Telemetry.create(), () -> true, () -> "")) {
            server.start();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                socket.setSoTimeout(TIMEOUT_MS);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                byte[] response = socket.getInputStream().readAllBytes();
                String text = new String(response, StandardCharsets.ISO_8859_1);
                assertThat(text, startsWith("HTTP/1.1 404"));
                assertThat(text, containsString("Connection: close"));
            }
        }
    }
}
