import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets, so that a stand-in decides about each byte that it sends. */
final class Http {
    private Http() {}

    /** A request or a response; names of headers are in lower case. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** One connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        static Connection open(String address, int timeoutMs) throws IOException {
            int colon = address.lastIndexOf(':');
            Socket socket = new Socket();
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(timeoutMs);
            return new Connection(socket);
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Returns whether the peer has closed the connection; reads nothing. */
        boolean isClosedByPeer() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                in.reset();
                return next < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException e) {
                    // The connection is closed.
                }
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    /** Handles the requests of a server, one after the other on each connection. */
    interface Handler {
        void handle(Connection connection, Message request) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mSocket;
        private final Handler mHandler;

        Server(String ip, int port, Handler handler) throws IOException {
            mSocket = new ServerSocket(port, 200, InetAddress.getByName(ip));
            mHandler = handler;
            daemon("server", this::accept);
        }

        String address() {
            return mSocket.getInetAddress().getHostAddress() + ":" + mSocket.getLocalPort();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket socket = mSocket.accept();
                    daemon("connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (Connection connection = new Connection(socket)) {
                while (true) {
                    mHandler.handle(connection, read(connection, true));
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads a whole request, or a whole response, which needs a length or chunks. */
    static Message read(Connection connection, boolean isRequest) throws IOException {
        Message message = readHead(connection);
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(connection);
            while (chunk.length > 0) {
                body.writeBytes(chunk);
                chunk = readChunk(connection);
            }
            message.body = body.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            int length = Integer.parseInt(message.header("content-length"));
            message.body = readBytes(connection, length);
        } else if (!isRequest) {
            throw new EOFException("a response without a length");
        }
        return message;
    }

    static Message readHead(Connection connection) throws IOException {
        Message message = new Message();
        message.startLine = readLine(connection.in);
        String line = readLine(connection.in);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine(connection.in);
        }
        return message;
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] readChunk(Connection connection) throws IOException {
        int size = Integer.parseInt(readLine(connection.in).split(";")[0].strip(), 16);
        byte[] chunk = readBytes(connection, size);
        readLine(connection.in);
        return chunk;
    }

    private static byte[] readBytes(Connection connection, int count) throws IOException {
        byte[] bytes = connection.in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body is cut off");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("the connection has ended");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a message with a length. */
    static byte[] bytes(String startLine, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        return bytes("HTTP/1.1 " + status + " -", headers, body);
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
