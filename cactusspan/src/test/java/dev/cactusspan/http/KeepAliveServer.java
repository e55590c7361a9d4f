package dev.cactusspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers requests without bodies, many on a connection, and counts the connections. */
final class KeepAliveServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicInteger mConnections = new AtomicInteger();

    /** Answers one request. */
    interface Responder {
        /**
         * Returns the bytes of the answer.
         *
         * @param head head of the request
         * @param number number of the request on its connection, from 0
         */
        String respond(String head, int number);
    }

    KeepAliveServer(Responder responder) throws IOException {
        mSocket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mThreads.execute(() -> accept(responder));
    }

    /** Returns a complete response with a body. */
    static String response(int status, String header, String body) {
        return String.join(
                "\r\n",
                "HTTP/1.1 " + status + " Status",
                header,
                "Content-Length: " + body.length(),
                "",
                body);
    }

    private void accept(Responder responder) {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                mConnections.incrementAndGet();
                mThreads.execute(() -> serve(socket, responder));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private static void serve(Socket socket, Responder responder) {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            int number = 0;
            for (String head = readHead(socket.getInputStream());
                    !head.isEmpty();
                    head = readHead(socket.getInputStream())) {
                String response = responder.respond(head, number++);
                out.write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + mSocket.getLocalPort());
    }

    int connections() {
        return mConnections.get();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        mThreads.shutdownNow();
    }
}
