import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A client that sends one request after the other on a connection that it keeps open. */
final class Kept extends Thread {
    /** What became of a request: a status, or 0 if the connection ended without an answer. */
    record Outcome(String node, String id, int status, long sentMs, long endMs, boolean isReused) {}

    private static final int TIMEOUT_MS = 3_000;

    private final Cluster mCluster;
    private final Cluster.Node mNode;
    private final ConcurrentLinkedQueue<Outcome> mOutcomes;
    private volatile boolean mIsStopped;

    Kept(Cluster cluster, Cluster.Node node, ConcurrentLinkedQueue<Outcome> outcomes) {
        super("client-" + node.name);
        mCluster = cluster;
        mNode = node;
        mOutcomes = outcomes;
        setDaemon(true);
    }

    void stopSending() {
        mIsStopped = true;
    }

    @Override
    public void run() {
        while (!mIsStopped) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(mNode.ip, mCluster.clientPort), 1_000);
                socket.setSoTimeout(TIMEOUT_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isReused = false;
                while (!mIsStopped && exchange(socket, in, isReused)) {
                    isReused = true;
                    Main.pause(20);
                }
            } catch (IOException e) {
                // The machine takes no connections now.
                Main.pause(200);
            }
        }
    }

    /** Sends a request; returns whether the connection may be used again. */
    private boolean exchange(Socket socket, InputStream in, boolean isReused) throws IOException {
        String id = "q" + Long.toHexString(System.nanoTime()) + Integer.toHexString(hashCode());
        String head =
                "POST /quotes/x HTTP/1.1\r\nHost: "
                        + Cluster.HOST
                        + "\r\nX-Api-Key: "
                        + Cluster.KEY
                        + "\r\nAttempt-Id: "
                        + id
                        + "\r\nDeadline-Ms: 2500\r\nContent-Length: 1\r\n\r\nq";
        long sentMs = Worker.now();
        int status = 0;
        boolean isKept = false;
        try {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String line = line(in);
            if (line.startsWith("HTTP/1.1 ")) {
                int answered = Integer.parseInt(line.substring(9, 12));
                int length = 0;
                isKept = true;
                for (line = line(in); !line.isEmpty(); line = line(in)) {
                    String lower = line.toLowerCase(Locale.ROOT);
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(lower.substring(15).strip());
                    }
                    isKept &= !lower.equals("connection: close");
                }
                if (in.readNBytes(length).length == length) {
                    status = answered;
                }
            }
        } catch (java.net.SocketTimeoutException e) {
            // No answer within the client's time: it leaves.
            return false;
        } catch (IOException e) {
            isKept = false;
        }
        mOutcomes.add(new Outcome(mNode.name, id, status, sentMs, Worker.now(), isReused));
        return status != 0 && isKept;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection has ended");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }
}
