package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection of a client that misbehaves: it sends a script as far as the other end takes it, and
 * then stays open. It reads nothing.
 */
final class CrowdConnection implements AutoCloseable {
    private final Script mScript;
    private final SocketChannel mChannel;
    private ByteBuffer mPending;
    private long mUnitsLeft;
    private boolean mIsClosed;

    /**
     * What a connection sends.
     *
     * @param head sent first
     * @param unit sent again and again after it
     * @param units how often
     * @param unitsPerTurn units sent in one turn at most
     */
    record Script(byte[] head, byte[] unit, long units, int unitsPerTurn) {}

    CrowdConnection(int port, Script script) throws IOException {
        mScript = script;
        mPending = ByteBuffer.wrap(script.head());
        mUnitsLeft = script.units();
        mChannel = SocketChannel.open();
        mChannel.configureBlocking(false);
        mChannel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Sends what the other end takes now; returns the number of bytes. */
    long send() {
        long sent = 0;
        try {
            if (mIsClosed || !mChannel.finishConnect()) {
                return 0;
            }
            int units = 0;
            while (true) {
                if (!mPending.hasRemaining()) {
                    if (mUnitsLeft == 0 || units == mScript.unitsPerTurn()) {
                        return sent;
                    }
                    mPending = ByteBuffer.wrap(mScript.unit());
                    mUnitsLeft--;
                    units++;
                }
                int count = mChannel.write(mPending);
                sent += count;
                if (count == 0 && mPending.hasRemaining()) {
                    return sent;
                }
            }
        } catch (IOException e) {
            // The other end has closed the connection, as it may.
            close();
            return sent;
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        try {
            mChannel.close();
        } catch (IOException e) {
            // Nothing is sent on it any more, whether or not it was closed cleanly.
            mIsClosed = true;
        }
    }
}
