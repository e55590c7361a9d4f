package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
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
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a request's body takes is held for as long as the body is in memory, and no longer. */
final class RequestBodyKeptTest {
    private static final int REQUEST_BYTES = 1_000_000;
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int EVENT_BYTES = 100_000;
    private static final int CLIENT_BUFFER_BYTES = 4 << 10;
    private static final int MAX_PASSES = 500;
    private static final long PASS_MS = 10;
    private static final long TIMEOUT_S = 60;
    private static final CallerLimits LIMITS =
            new CallerLimits(20, 16 << 10, 32 << 20, 60_000, 60_000);

    private final MemoryBudget mBudget = MemoryBudget.ofHeap(92L << 20);
    private final GuardedServer mServer =
            GuardedServer.create(
                    "test", 1, mBudget, new IntakeReport(r -> {}, (counts, nowMs) -> {}));
    private final List<WeakReference<byte[]>> mChunks = new CopyOnWriteArrayList<>();
    private final CountDownLatch mIsAnswered = new CountDownLatch(1);
    private boolean mIsStream;
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
                        answer(sink, body);
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        sink.fail(failure, 0);
                    }
                });
    }

    private void answer(PlatformSink sink, Body body) {
        for (Iterator<ByteBuffer> parts = body.parts(); parts.hasNext(); ) {
            mChunks.add(new WeakReference<>(parts.next().array()));
        }
        // As a request in progress does, which is abandoned with its client.
        sink.onClientDisconnect(Runnable::run, () -> assertThat(body.length(), greaterThan(0L)));
        if (mIsStream) {
            sink.start(200, Map.of());
            sink.data(new byte[EVENT_BYTES], mIsAnswered::countDown);
        } else {
            sink.respond(200, Map.of(), Body.of(new byte[ANSWER_BYTES]));
            mIsAnswered.countDown();
        }
    }

    private Socket send() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort));
        String head =
                "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + REQUEST_BYTES + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(new byte[REQUEST_BYTES]);
        return socket;
    }

    private long keptChunks() {
        System.gc();
        return mChunks.stream().filter(c -> c.get() != null).count();
    }

    @Test
    void shouldNotKeepTheBodyWhileTheAnswerIsReadSlowly() throws Exception {
        try (Socket socket = send()) {
            assertThat(mIsAnswered.await(TIMEOUT_S, TimeUnit.SECONDS), is(true));
            int passes = 0;
            while (keptChunks() > 0 && passes < MAX_PASSES) {
                // Fast enough that the connection is not closed.
                socket.getInputStream().readNBytes(CLIENT_BUFFER_BYTES);
                TimeUnit.MILLISECONDS.sleep(PASS_MS);
                passes++;
            }
            assertThat(keptChunks(), is(0L));
            assertThat(mBudget.heldBytes(), greaterThan((long) ANSWER_BYTES));
        }
    }

    @Test
    void shouldHoldTheBodyOfARequestWhoseAnswerIsStreamed() throws Exception {
        mIsStream = true;
        try (Socket socket = send()) {
            socket.getInputStream().readNBytes(EVENT_BYTES);
            assertThat(mIsAnswered.await(TIMEOUT_S, TimeUnit.SECONDS), is(true));
            assertThat(mBudget.heldBytes(), greaterThanOrEqualTo((long) REQUEST_BYTES));
        }
    }
}
