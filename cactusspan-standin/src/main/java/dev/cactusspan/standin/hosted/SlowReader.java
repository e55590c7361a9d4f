package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** A connection of a client that sends one request and reads the answer slowly. */
final class SlowReader implements AutoCloseable {
    /** Buffer of the connection, so that the answer waits at the process and not in the system. */
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

    private final SocketChannel mChannel;
    private final ByteBuffer mRequest;
    private boolean mIsClosed;

    SlowReader(int port, byte[] request) throws IOException {
        mRequest = ByteBuffer.wrap(request);
        mChannel = SocketChannel.open();
        mChannel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        mChannel.configureBlocking(false);
        mChannel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Sends what is left of the request, or reads up to the given number of bytes. */
    void turn(ByteBuffer buffer, int maxBytes) {
        if (mIsClosed) {
            return;
        }
        try {
            if (!mChannel.finishConnect()) {
                return;
            }
            if (mRequest.hasRemaining()) {
                mChannel.write(mRequest);
                return;
            }
            buffer.clear().limit(maxBytes);
            if (mChannel.read(buffer) < 0) {
                close();
            }
        } catch (IOException e) {
            // The process has closed the connection, as it may.
            close();
        }
    }

    boolean isClosed() {
        return mIsClosed;
    }

    @Override
    public void close() {
        mIsClosed = true;
        try {
            mChannel.close();
        } catch (IOException e) {
            // Nothing is read from it any more, whether or not it was closed cleanly.
            mIsClosed = true;
        }
    }
}
