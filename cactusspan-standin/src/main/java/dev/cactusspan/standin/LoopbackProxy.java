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

/** Passes TCP connections on to a port of loopback, and disturbs them as it is told. */
public final class LoopbackProxy implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int BUFFER_BYTES = 8_192;
    private static final int BACKLOG = 50;

    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Pair> mPairs = new CopyOnWriteArrayList<>();
    private volatile long mDelayMs;
    private volatile boolean mIsRefusing;
    private volatile boolean mIsCutForth;
    private volatile boolean mIsCutBack;

    private LoopbackProxy(int targetPort) throws IOException {
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        mTargetPort = targetPort;
        start(this::accept);
    }

    /**
     * Starts a proxy.
     *
     * @param targetPort port to pass connections on to
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
                sLog.atFine().withCause(e).log("the target refuses, or the proxy is closed");
            }
        }
    }

    private void connect(Socket from) throws IOException {
        try {
            Pair pair = new Pair(from, new Socket(InetAddress.getLoopbackAddress(), mTargetPort));
            mPairs.add(pair);
            start(() -> pass(pair, pair.mFrom, pair.mTo, true));
            start(() -> pass(pair, pair.mTo, pair.mFrom, false));
        } catch (IOException e) {
            reset(from);
            throw e;
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setOption(StandardSocketOptions.SO_LINGER, 0);
        socket.close();
    }

    // Disturbances

    /** Makes the connections that stand now silent for good, while new ones work. */
    public void stallConnections() {
        mPairs.forEach(pair -> pair.mIsSilent = true);
    }

    /** Resets the connections that stand now. */
    public void resetConnections() {
        List<Pair> pairs = List.copyOf(mPairs);
        pairs.forEach(Pair::reset);
        mPairs.removeAll(pairs);
    }

    /**
     * Delays what passes.
     *
     * @param delayMs how long, zero for not at all
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
     * Drops all bytes of one or both directions, which breaks the connections that carry some.
     *
     * @param isForth true to drop what is sent to the target
     * @param isBack true to drop what the target sends
     */
    public void dropTraffic(boolean isForth, boolean isBack) {
        mIsCutForth = isForth;
        mIsCutBack = isBack;
    }

    /** Ends all disturbances but that of connections that are silent for good. */
    public void clearFaults() {
        mDelayMs = 0;
        mIsRefusing = false;
        dropTraffic(false, false);
    }

    private void pass(Pair pair, Socket from, Socket to, boolean isForth) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                pause(mDelayMs);
                if (isForth ? mIsCutForth : mIsCutBack) {
                    pair.mIsSilent = true;
                }
                if (!pair.mIsSilent) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            pair.reset();
            return;
        }
        if (!pair.mIsSilent) {
            pair.close();
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
        new ArrayList<>(mPairs).forEach(Pair::close);
    }

    private static final class Pair {
        private final Socket mFrom;
        private final Socket mTo;
        private volatile boolean mIsSilent;

        Pair(Socket from, Socket to) {
            mFrom = from;
            mTo = to;
        }

        void reset() {
            try {
                LoopbackProxy.reset(mFrom);
                mTo.close();
            } catch (IOException e) {
                // Both ends are of no further use.
                return;
            }
        }

        void close() {
            try {
                mFrom.close();
                mTo.close();
            } catch (IOException e) {
                // Both ends are of no further use.
                return;
            }
        }
    }
}
