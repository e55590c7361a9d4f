package dev.cactusspan.standin;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards TCP connections to a port of loopback and injects network faults on request. */
public final class LoopbackProxy implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int BUFFER_BYTES = 8_192;
    private static final int BACKLOG = 50;

    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Connection> mConnections = new CopyOnWriteArrayList<>();
    private volatile long mDelayMs;
    private volatile boolean mIsRefusing;
    private volatile boolean mIsDroppingToTarget;
    private volatile boolean mIsDroppingFromTarget;

    private LoopbackProxy(int targetPort) throws IOException {
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        mTargetPort = targetPort;
        start(this::accept);
    }

    /**
     * Starts a proxy.
     *
     * @param targetPort port to forward connections to
     * @return the running proxy
     * @throws IOException if no port can be opened
     */
    public static LoopbackProxy to(int targetPort) throws IOException {
        return new LoopbackProxy(targetPort);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "loopback-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket from = mServer.accept();
                if (mIsRefusing) {
                    reset(from);
                    continue;
                }
                connect(from);
            } catch (IOException e) {
                sLog.atFine().withCause(e).log(
                        "the target refused the connection, or the proxy is closed");
            }
        }
    }

    private void connect(Socket from) throws IOException {
        try {
            Connection connection =
                    new Connection(from, new Socket(InetAddress.getLoopbackAddress(), mTargetPort));
            mConnections.add(connection);
            start(() -> forward(connection, connection.mFrom, connection.mTo, true));
            start(() -> forward(connection, connection.mTo, connection.mFrom, false));
        } catch (IOException e) {
            reset(from);
            throw e;
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setOption(StandardSocketOptions.SO_LINGER, 0);
        socket.close();
    }

    // Faults

    /**
     * Stalls the connections that are open now for the rest of their life; new connections work.
     */
    public void stallConnections() {
        mConnections.forEach(connection -> connection.mIsStalled = true);
    }

    /** Resets the connections that are open now. */
    public void resetConnections() {
        List<Connection> connections = List.copyOf(mConnections);
        connections.forEach(Connection::reset);
        mConnections.removeAll(connections);
    }

    /**
     * Delays forwarded data.
     *
     * @param delayMs delay in milliseconds, zero for none
     */
    public void setDelay(long delayMs) {
        mDelayMs = delayMs;
    }

    /**
     * Resets new connections.
     *
     * @param isRefusing true to reset them
     */
    public void setRefusing(boolean isRefusing) {
        mIsRefusing = isRefusing;
    }

    /**
     * Drops all bytes in one or both directions. A connection that carries data in a dropped
     * direction stays stalled afterwards.
     *
     * @param isToTarget true to drop data sent to the target
     * @param isFromTarget true to drop data sent by the target
     */
    public void dropTraffic(boolean isToTarget, boolean isFromTarget) {
        mIsDroppingToTarget = isToTarget;
        mIsDroppingFromTarget = isFromTarget;
    }

    /** Clears all faults; stalled connections stay stalled. */
    public void clearFaults() {
        mDelayMs = 0;
        mIsRefusing = false;
        dropTraffic(false, false);
    }

    private void forward(Connection connection, Socket from, Socket to, boolean isToTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                pause(mDelayMs);
                if (isToTarget ? mIsDroppingToTarget : mIsDroppingFromTarget) {
                    connection.mIsStalled = true;
                }
                if (!connection.mIsStalled) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            connection.reset();
            return;
        }
        if (!connection.mIsStalled) {
            connection.close();
        }
    }

    private static void pause(long ms) {
        if (ms == 0) {
            return;
        }
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the port.
     *
     * @return the port to connect to
     */
    public int port() {
        return mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        new ArrayList<>(mConnections).forEach(Connection::close);
    }

    private static final class Connection {
        private final Socket mFrom;
        private final Socket mTo;
        private volatile boolean mIsStalled;

        Connection(Socket from, Socket to) {
            mFrom = from;
            mTo = to;
        }

        void reset() {
            try {
                LoopbackProxy.reset(mFrom);
                mTo.close();
            } catch (IOException e) {
                // Neither end is used any longer.
                return;
            }
        }

        void close() {
            try {
                mFrom.close();
                mTo.close();
            } catch (IOException e) {
                // Neither end is used any longer.
                return;
            }
        }
    }
}
