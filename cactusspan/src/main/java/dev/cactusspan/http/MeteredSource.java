package dev.cactusspan.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.LongPredicate;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Counts what a client sends on its connection. */
final class MeteredSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final LongPredicate mOnRead;

    /**
     * Creates the conduit.
     *
     * @param next reads from the connection
     * @param onRead receives each count; returns false if nothing more may be read
     */
    MeteredSource(StreamSourceConduit next, LongPredicate onRead) {
        super(next);
        mOnRead = onRead;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) count(super.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return count(super.read(targets, offset, length));
    }

    private long count(long bytes) throws IOException {
        if (bytes > 0 && !mOnRead.test(bytes)) {
            throw new IOException("no memory for the bytes of this client");
        }
        return bytes;
    }
}
