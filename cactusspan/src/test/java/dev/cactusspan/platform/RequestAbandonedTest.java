package dev.cactusspan.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.http.GuardedConnection;
import dev.cactusspan.http.GuardedServer;
import dev.cactusspan.http.RequestReader;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.result.Failure;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request is abandoned with its connection, whoever closes that, and in no other case. */
final class RequestAbandonedTest {
    private static final int EVENT_BYTES = 4_000_000;
    private static final long TIMEOUT_S = 60;
    private static final CallerLimits LIMITS =
            new CallerLimits(20, 16 << 10, 32 << 20, 60_000, 60_000);

    private final GuardedServer mServer =
            GuardedServer.create(
                    "test",
                    1,
                    MemoryBudget.ofHeap(92L << 20),
                    new IntakeReport(r -> {}, (counts, nowMs) -> {}));
    private final CountDownLatch mIsRunning = new CountDownLatch(1);
    private final CountDownLatch mIsAbandoned = new CountDownLatch(1);
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

    private void handle(HttpServerExchange exchange, GuardedConnection connection) {
        PlatformSink sink = PlatformSink.of(exchange, connection);
        RequestReader.read(
                exchange,
                connection,
                LIMITS.maxBodyBytes(),
                new RequestReader.Listener() {
                    @Override
                    public void onRead(Body body) {
                        answer(exchange.getRequestURI(), sink);
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        sink.fail(failure, 0);
                    }
                });
    }

    private void answer(String path, PlatformSink sink) {
        sink.onClientDisconnect(Runnable::run, mIsAbandoned::countDown);
        mIsRunning.countDown();
        switch (path) {
            case "/stream" -> {
                sink.start(200, Map.of());
                sink.data(new byte[EVENT_BYTES], () -> {});
            }
            case "/whole" -> sink.respond(200, Map.of(), Body.of("x".getBytes(US_ASCII)));
            default -> {
                // It is in progress until it is abandoned.
            }
        }
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort);
        String head = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(US_ASCII));
        return socket;
    }

    private boolean isAbandoned() throws InterruptedException {
        return mIsAbandoned.await(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void shouldAbandonTheRequestOfAClientThatLeaves() throws Exception {
        try (Socket socket = send("/running")) {
            assertThat(mIsRunning.await(TIMEOUT_S, TimeUnit.SECONDS), is(true));
        }
        assertThat(isAbandoned(), is(true));
    }

    @Test
    void shouldAbandonTheRequestOfAClientThatIsClosedAsItDoesNotRead() throws Exception {
        try (Socket socket = send("/stream")) {
            assertThat(isAbandoned(), is(true));
        }
    }

    @Test
    void shouldNotAbandonARequestThatWasAnswered() throws Exception {
        try (Socket socket = send("/whole")) {
            while (socket.getInputStream().read() != 'x') {
                // The body is one byte, which no header has.
            }
        }
        try (Socket socket = send("/whole")) {
            while (socket.getInputStream().read() != 'x') {
                // The server has seen the first connection close by now, or does so in order.
            }
        }
        assertThat(mIsAbandoned.getCount(), is(1L));
    }
}
