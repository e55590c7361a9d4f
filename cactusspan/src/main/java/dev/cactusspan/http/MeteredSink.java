package dev.cactusspan.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;

/** Counts what a client takes of the responses on its connection. */
final class MeteredSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final WriteListener mListener;

    /** Receives counts of written bytes. */
    interface WriteListener {
        /**
         * Called after each write.
         *
         * @param bytes bytes written
         * @param hasMore true if the connection took less than it was given
         */
        void onWrite(long bytes, boolean hasMore);
    }

    MeteredSink(StreamSinkConduit next, WriteListener listener) {
        super(next);
        mListener = listener;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        int count = super.write(source);
        mListener.onWrite(count, source.hasRemaining());
        return count;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        long count = super.write(sources, offset, length);
        mListener.onWrite(count, hasRemaining(sources, offset, length));
        return count;
    }

    @Override
    public int writeFinal(ByteBuffer source) throws IOException {
        return Conduits.writeFinalBasic(this, source);
    }

    @Override
    public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return Conduits.writeFinalBasic(this, sources, offset, length);
    }

    private static boolean hasRemaining(ByteBuffer[] sources, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            if (sources[i].hasRemaining()) {
                return true;
            }
        }
        return false;
    }
}
