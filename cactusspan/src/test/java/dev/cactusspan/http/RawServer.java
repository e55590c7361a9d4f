package dev.cactusspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Accepts connections and writes given bytes after the head of a request. */
final class RawServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final boolean mIsResetting;
    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicLong mWritten = new AtomicLong();
    private final CompletableFuture<Boolean> mClosedByPeer = new CompletableFuture<>();

    /** Writes a response. */
    interface Script {
        void play(OutputStream out) throws IOException, InterruptedException;
    }

    RawServer(Script script) throws IOException {
        this(script, false);
    }

    private RawServer(Script script, boolean isResetting) throws IOException {
        mIsResetting = isResetting;
        mSocket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mThreads.execute(() -> accept(script));
    }

    /** Resets each connection at the end of the script. */
    static RawServer resetting(Script script) throws IOException {
        return new RawServer(script, true);
    }

    /** Writes a prefix once and then a part without end. */
    static Script endless(String prefix, String part) {
        byte[] block = part.repeat(1 + 8_192 / part.length()).getBytes(StandardCharsets.US_ASCII);
        return out -> {
            out.write(prefix.getBytes(StandardCharsets.US_ASCII));
            while (true) {
                out.write(block);
            }
        };
    }

    private void accept(Script script) {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                mThreads.execute(() -> serve(socket, script));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket, Script script) {
        try (socket) {
            readHead(socket.getInputStream());
            script.play(new CountingStream(socket.getOutputStream()));
            socket.setSoLinger(mIsResetting, 0);
            // Without an end of its own, the response ends when the connection closes.
        } catch (IOException e) {
            mClosedByPeer.complete(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the whole request: closing a socket with unread bytes would reset the response. */
    private static void readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < HEAD_END.length()) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            matched = next == HEAD_END.charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
    }

    private final class CountingStream extends OutputStream {
        private final OutputStream mOut;

        CountingStream(OutputStream out) {
            mOut = out;
        }

        @Override
        public void write(int b) throws IOException {
            mOut.write(b);
            mWritten.incrementAndGet();
        }

        @Override
        public void write(byte[] data, int offset, int length) throws IOException {
            mOut.write(data, offset, length);
            mWritten.addAndGet(length);
        }
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + mSocket.getLocalPort());
    }

    long writtenBytes() {
        return mWritten.get();
    }

    boolean awaitClosedByPeer(long timeoutMs) throws Exception {
        return mClosedByPeer.get(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        mThreads.shutdownNow();
    }
}
