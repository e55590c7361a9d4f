package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.intake.Refusal;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class GuardedServerTest {
    private static final int LARGE_BYTES = 33_000_000;
    private static final int TIMEOUT_MS = 20_000;
    private static final CallerLimits LIMITS =
            new CallerLimits(20, 16 << 10, 32 << 20, 1_000, 2_000);

    private final MemoryBudget mBudget = MemoryBudget.ofHeap(92L << 20);
    private final List<Refusal> mRefusals = new CopyOnWriteArrayList<>();
    private final GuardedServer mServer =
            GuardedServer.create(
                    "test", 1, mBudget, new IntakeReport(mRefusals::add, (counts, nowMs) -> {}));
    private int mPort;

    @BeforeEach
    void listen() throws IOException {
        mPort =
                mServer.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> LIMITS,
                        this::handle);
    }

    @AfterEach
    void close() {
        mServer.close();
    }

    /** Answers with the length of the body. */
    private void handle(HttpServerExchange exchange, GuardedConnection connection) {
        RequestReader.read(
                exchange,
                connection,
                LIMITS.maxBodyBytes(),
                new RequestReader.Listener() {
                    @Override
                    public void onRead(Body body) {
                        answer(200, Long.toString(body.length()));
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        answer(
                                failure.kind() == ErrorKind.PAYLOAD_TOO_LARGE ? 413 : 503,
                                failure.kind().wireName());
                    }

                    private void answer(int status, String text) {
                        exchange.setStatusCode(status);
                        GuardedConnection.send(exchange, text.getBytes(StandardCharsets.UTF_8));
                    }
                });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String head(String more) {
        return "POST /a HTTP/1.1\r\nHost: a\r\n" + more + "\r\n";
    }

    /** Reads a response with a length. */
    private static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (true) {
            int end = text.indexOf("\r\n\r\n");
            if (end > 0) {
                String length = text.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1");
                if (text.length() == end + 4 + Integer.parseInt(length)) {
                    return text.toString();
                }
            }
            int next = in.read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
    }

    /** Waits until the connection is closed by the server; returns what it sent before. */
    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void shouldReadTheLargestBodyInOnePiece() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Content-Length: " + LARGE_BYTES + "\r\n"));
            socket.getOutputStream().write(new byte[LARGE_BYTES]);
            assertThat(read(socket), containsString("\r\n\r\n" + LARGE_BYTES));
            write(socket, head("Content-Length: 2\r\n") + "ab");
            assertThat(read(socket), containsString("\r\n\r\n2"));
        }
        assertThat(mRefusals, is(List.of()));
    }

    @Test
    void shouldReadTheLargestBodyInChunks() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Transfer-Encoding: chunked\r\n"));
            OutputStream out = socket.getOutputStream();
            byte[] chunk = new byte[10_000];
            for (int sent = 0; sent < LARGE_BYTES; sent += chunk.length) {
                write(socket, Integer.toHexString(chunk.length) + "\r\n");
                out.write(chunk);
                write(socket, "\r\n");
            }
            write(socket, "0\r\n\r\n");
            assertThat(read(socket), containsString("\r\n\r\n" + LARGE_BYTES));
        }
        assertThat(mRefusals, is(List.of()));
    }

    @Test
    void shouldRefuseABodyOverTheLimitBeforeItIsSent() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Content-Length: 100000000\r\n"));
            socket.getOutputStream().write(new byte[200_000]);
            assertThat(readAll(socket), startsWith("HTTP/1.1 413"));
        }
    }

    @Test
    void shouldRefuseWithoutReadingWhileMemoryIsHeld() throws IOException {
        try (Socket stopped = connect();
                Socket next = connect();
                Socket small = connect()) {
            write(stopped, head("Content-Length: " + LARGE_BYTES + "\r\n"));
            pause(100);
            write(next, head("Content-Length: " + LARGE_BYTES + "\r\n"));
            assertThat(readAll(next), startsWith("HTTP/1.1 503"));
            write(small, head("Content-Length: 2\r\n") + "ab");
            assertThat(read(small), startsWith("HTTP/1.1 200"));
        }
        awaitNothingHeld();
    }

    @Test
    void shouldAnswerACallerThatIsClosedForAnother() throws IOException {
        try (Socket stopped = connect();
                Socket next = connect()) {
            write(stopped, head("Content-Length: " + LARGE_BYTES + "\r\n") + "abc");
            pause(600);
            write(next, head("Content-Length: " + LARGE_BYTES + "\r\n"));
            assertThat(readAll(stopped), startsWith("HTTP/1.1 503"));
            next.getOutputStream().write(new byte[LARGE_BYTES]);
            assertThat(read(next), startsWith("HTTP/1.1 200"));
        }
        assertThat(mRefusals, is(List.of(Refusal.MEMORY)));
        awaitNothingHeld();
    }

    @Test
    void shouldReadABodyWithATrailer() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\nx-su");
            pause(100);
            write(socket, "m: 1f\r\n\r\n");
            assertThat(read(socket), containsString("\r\n\r\n2"));
            write(socket, head("Content-Length: 3\r\n") + "abc");
            assertThat(read(socket), containsString("\r\n\r\n3"));
        }
        assertThat(mRefusals, is(List.of()));
        awaitNothingHeld();
    }

    @Test
    void shouldReadABodyInChunksOfOneByte() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Transfer-Encoding: chunked\r\n"));
            write(socket, "1\r\nx\r\n".repeat(300_000) + "0\r\n\r\n");
            assertThat(read(socket), containsString("\r\n\r\n300000"));
        }
        assertThat(mRefusals, is(List.of()));
        awaitNothingHeld();
    }

    @Test
    void shouldCloseAConnectionThatSendsMoreTrailersThanAHeaderHasBytes() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n");
            sendUntilClosed(socket, "x".repeat(4 << 10));
        }
        assertThat(mRefusals, is(List.of(Refusal.FRAMING)));
        awaitNothingHeld();
    }

    @Test
    void shouldHoldMemoryForTrailers() throws IOException {
        try (Socket socket = connect()) {
            write(socket, head("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n");
            write(socket, "x".repeat(8 << 10));
            long untilNs = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
            while (mBudget.heldBytes() < 8 << 16 && System.nanoTime() < untilNs) {
                pause(10);
            }
            assertThat(mBudget.heldBytes(), greaterThan(8L << 16));
        }
        awaitNothingHeld();
    }

    private static void sendUntilClosed(Socket socket, String unit) {
        long untilNs = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (System.nanoTime() < untilNs) {
            try {
                write(socket, unit);
            } catch (IOException e) {
                // The server has closed the connection.
                return;
            }
        }
        throw new AssertionError("the connection is open after " + TIMEOUT_MS + " ms");
    }

    @Test
    void shouldCloseHalfHeadersAndSilentConnections() throws IOException {
        try (Socket half = connect();
                Socket silent = connect()) {
            write(half, "POST /a HTTP/1.1\r\nHost:");
            assertThat(readAll(half), is(""));
            assertThat(readAll(silent), is(""));
        }
        awaitNothingHeld();
    }

    @Test
    void shouldAnswerRequestsThatAreSentAheadInOrder() throws IOException {
        try (Socket socket = connect()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 1; i <= 50; i++) {
                requests.append(head("Content-Length: " + i + "\r\n")).append("x".repeat(i));
            }
            write(socket, requests.toString());
            for (int i = 1; i <= 50; i++) {
                assertThat(read(socket), containsString("\r\n\r\n" + i));
            }
        }
        awaitNothingHeld();
    }

    private void awaitNothingHeld() {
        long untilNs = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (mBudget.heldBytes() > 0 && System.nanoTime() < untilNs) {
            pause(10);
        }
        assertThat(mBudget.heldBytes(), is(0L));
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
