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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answers requests, many on a connection, and counts the connections. It closes a connection after
 * an answer that says so.
 */
public final class KeepAliveServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");

    private static final String CLOSE = "Connection: close";

    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicInteger mConnections = new AtomicInteger();

    /** Answers one request. */
    public interface Responder {
        /**
         * Returns the bytes of the answer.
         *
         * @param head head of the request
         * @param number number of the request on its connection, from 0
         */
        String respond(String head, int number);
    }

    public KeepAliveServer(Responder responder) throws IOException {
        mSocket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mThreads.execute(() -> accept(responder));
    }

    /** Returns a complete response with a body. */
    public static String response(int status, String header, String body) {
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
                if (response.contains(CLOSE)) {
                    return;
                }
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
        skipBody(in, head);
        return head.toString();
    }

    private static void skipBody(InputStream in, CharSequence head) throws IOException {
        Matcher length = CONTENT_LENGTH.matcher(head);
        if (length.find()) {
            in.skipNBytes(Long.parseLong(length.group(1)));
        }
    }

    public URI uri() {
        return URI.create("http://127.0.0.1:" + mSocket.getLocalPort());
    }

    public int connections() {
        return mConnections.get();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        mThreads.shutdownNow();
    }
}
