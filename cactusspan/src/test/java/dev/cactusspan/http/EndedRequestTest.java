package dev.cactusspan.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A request that has ended is neither written on nor kept in memory. */
final class EndedRequestTest {
    /** More than the system takes of a connection that nobody reads. */
    private static final int LONG_BYTES = 20_000_000;

    /** Less than a head may have. */
    private static final int HEAD_BYTES = 100_000;

    private static final int REQUESTS = 200;

    /** Memory for the heads of all responses together. */
    private static final long MAX_HEADS_BYTES = 8 << 20;

    private static final int MAX_BYTES = 1_000;
    private static final long TIMEOUT_MS = 60_000;
    private static final long SHORT_TIMEOUT_MS = 5_000;
    private static final int MAX_PASSES = 200;
    private static final long PASS_MS = 10;
    private static final int CLIENTS_IN_BACKLOG = 64;

    private final HttpClient mHttp;
    private WeakReference<byte[]> mBody = new WeakReference<>(null);

    EndedRequestTest() throws IOException {
        mHttp = HttpClient.create();
    }

    @AfterEach
    void close() {
        mHttp.close();
    }

    private HttpRequest request(URI server, int bodyBytes, long timeoutMs) {
        byte[] body = new byte[bodyBytes];
        mBody = new WeakReference<>(body);
        return new HttpRequest("POST", server, "/", Map.of(), body, timeoutMs, MAX_BYTES, false);
    }

    private int status(HttpRequest request) throws Exception {
        return mHttp.collect(request, MAX_BYTES)
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .fold(f -> 0, HttpResponse::status);
    }

    private boolean isBodyKept() throws InterruptedException {
        for (int i = 0; i < MAX_PASSES; i++) {
            System.gc();
            if (mBody.get() == null) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(PASS_MS);
        }
        return true;
    }

    @Test
    void shouldNotReuseAConnectionOnWhichARequestIsUnfinished() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        CountDownLatch isOver = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        out -> {
                            int status = requests.getAndIncrement() == 0 ? 503 : 200;
                            out.write(
                                    KeepAliveServer.response(status, "A: b", "")
                                            .getBytes(US_ASCII));
                            isOver.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                        })) {
            assertThat(status(request(server.uri(), LONG_BYTES, TIMEOUT_MS)), is(503));
            assertThat(isBodyKept(), is(false));
            assertThat(status(request(server.uri(), 1, SHORT_TIMEOUT_MS)), is(200));
        } finally {
            isOver.countDown();
        }
    }

    @Test
    void shouldLetGoOfARequestThatIsCancelledBeforeItIsConnected() throws Exception {
        List<SocketChannel> backlog = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address =
                    new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort());
            for (int i = 0; i < CLIENTS_IN_BACKLOG; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(address);
                backlog.add(channel);
            }
            URI uri = URI.create("http://127.0.0.1:" + silent.getLocalPort());
            CountDownLatch isEnded = new CountDownLatch(1);
            Runnable canceller = mHttp.send(request(uri, LONG_BYTES, TIMEOUT_MS), ended(isEnded));
            canceller.run();
            assertThat(isEnded.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
            assertThat(isBodyKept(), is(false));
        } finally {
            for (SocketChannel channel : backlog) {
                channel.close();
            }
        }
    }

    @Test
    void shouldNotKeepTheListenerWithAnIdleConnection() throws Exception {
        try (KeepAliveServer server =
                new KeepAliveServer(
                        (head, number) -> KeepAliveServer.response(200, "A: b", "body"))) {
            CountDownLatch isEnded = new CountDownLatch(1);
            mHttp.send(request(server.uri(), 1, TIMEOUT_MS), keepingMemory(isEnded));
            assertThat(isEnded.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
            assertThat(isBodyKept(), is(false));
        }
    }

    @Test
    void shouldNotKeepTheListenerOfARequestThatIsCancelled() throws Exception {
        CountDownLatch isHeadSent = new CountDownLatch(1);
        CountDownLatch isOver = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        out -> {
                            out.write("HTTP/1.1 200 OK\r\nName: val".getBytes(US_ASCII));
                            isHeadSent.countDown();
                            isOver.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                        })) {
            sendAndCancel(server.uri(), isHeadSent);
            assertThat(isBodyKept(), is(false));
        } finally {
            isOver.countDown();
        }
    }

    private void sendAndCancel(URI server, CountDownLatch isHeadSent) throws Exception {
        CountDownLatch isEnded = new CountDownLatch(1);
        Runnable canceller = mHttp.send(request(server, 0, TIMEOUT_MS), keepingMemory(isEnded));
        assertThat(isHeadSent.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
        canceller.run();
        assertThat(isEnded.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    }

    /** A request that is sent again keeps what cancels its earlier sends until its end. */
    @Test
    void shouldNotKeepTheHeadsOfRequestsThatAreGivenUp() throws Exception {
        byte[] head = ("HTTP/1.1 200 OK\r\nName: " + "v".repeat(HEAD_BYTES)).getBytes(US_ASCII);
        CountDownLatch isOver = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        out -> {
                            out.write(head);
                            isOver.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                        })) {
            long beforeBytes = usedBytes();
            CountDownLatch isHalfGivenUp = new CountDownLatch(REQUESTS / 2);
            CountDownLatch areEnded = new CountDownLatch(REQUESTS);
            List<Runnable> cancellers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                HttpRequest request = request(server.uri(), 0, TIMEOUT_MS);
                Runnable onEnded =
                        () -> {
                            isHalfGivenUp.countDown();
                            areEnded.countDown();
                        };
                cancellers.add(mHttp.send(request, ended(onEnded)));
            }
            assertThat(isHalfGivenUp.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
            cancellers.forEach(Runnable::run);
            assertThat(areEnded.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
            int passes = 0;
            while (usedBytes() - beforeBytes > MAX_HEADS_BYTES && passes < MAX_PASSES) {
                TimeUnit.MILLISECONDS.sleep(PASS_MS);
                passes++;
            }
            assertThat(usedBytes() - beforeBytes, lessThan(MAX_HEADS_BYTES));
            cancellers.forEach(Runnable::run);
        } finally {
            isOver.countDown();
        }
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Returns a listener that refers to memory, as one of a request that may be sent again. */
    private ResponseListener keepingMemory(CountDownLatch isEnded) {
        byte[] body = new byte[LONG_BYTES];
        mBody = new WeakReference<>(body);
        return ended(
                () -> {
                    assertThat(body.length, is(LONG_BYTES));
                    isEnded.countDown();
                });
    }

    private static ResponseListener ended(CountDownLatch isEnded) {
        return ended(isEnded::countDown);
    }

    private static ResponseListener ended(Runnable onEnded) {
        return new ResponseListener() {
            @Override
            public void onHead(int status, Map<String, String> headers) {}

            @Override
            public void onData(byte[] data, Runnable consumed) {}

            @Override
            public void onEnd() {
                onEnded.run();
            }

            @Override
            public void onFailure(SendFailure failure, String reason) {
                onEnded.run();
            }
        };
    }
}
