package dev.cactusspan.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Passes TCP connections on to a port; connections that stand when it is silenced stay open and
 * carry nothing any more, while new ones work.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Pair> mPairs = new CopyOnWriteArrayList<>();

    private Relay(int targetPort) throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mTargetPort = targetPort;
        start(this::accept);
    }

    static Relay to(int targetPort) throws IOException {
        return new Relay(targetPort);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = mServer.accept();
                Pair pair =
                        new Pair(from, new Socket(InetAddress.getLoopbackAddress(), mTargetPort));
                mPairs.add(pair);
                start(() -> pair.pass(pair.mFrom, pair.mTo));
                start(() -> pair.pass(pair.mTo, pair.mFrom));
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Makes the connections that stand now silent for good. */
    void silence() {
        mPairs.forEach(pair -> pair.mIsSilent = true);
    }

    int port() {
        return mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Pair pair : new ArrayList<>(mPairs)) {
            pair.mFrom.close();
            pair.mTo.close();
        }
    }

    private static final class Pair {
        private final Socket mFrom;
        private final Socket mTo;
        private volatile boolean mIsSilent;

        Pair(Socket from, Socket to) {
            mFrom = from;
            mTo = to;
        }

        void pass(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    if (!mIsSilent) {
                        out.write(buffer, 0, count);
                    }
                }
            } catch (IOException e) {
                return;
            }
            if (!mIsSilent) {
                closeBoth();
            }
        }

        private void closeBoth() {
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
