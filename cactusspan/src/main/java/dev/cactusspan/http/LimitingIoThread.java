package dev.cactusspan.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Installs a {@link ResponseLimit} on each connection before Undertow's client reads from it, which
 * has no option for one. It is never started as a thread; all work is done by the I/O thread that
 * it wraps.
 */
final class LimitingIoThread extends XnioIoThread {
    /** Memory for the heads and trailers of all responses: a twelfth of the smallest heap. */
    private static final long MAX_HEAD_BYTES = 8 << 20;

    /** Size of ordinary heads, which are never dropped. */
    private static final long SMALL_HEAD_BYTES = 4 << 10;

    private final XnioIoThread mDelegate;
    private final ResponseBudget mHeads = new ResponseBudget(MAX_HEAD_BYTES, SMALL_HEAD_BYTES);
    private ResponseLimit mLatest;

    LimitingIoThread(XnioIoThread delegate) {
        super(delegate.getWorker(), delegate.getNumber());
        mDelegate = delegate;
    }

    /**
     * Returns the limit of the connection that was opened last. It belongs to the connection that
     * Undertow's client reports, because both are reported in one call on the I/O thread.
     */
    ResponseLimit latest() {
        return mLatest;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return mDelegate.openStreamConnection(
                destination,
                connection -> {
                    mLatest = ResponseLimit.install(connection, mHeads);
                    openListener.handleEvent(connection);
                },
                bindListener,
                options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            OptionMap options) {
        return openStreamConnection(destination, openListener, null, options);
    }

    @Override
    public void execute(Runnable task) {
        mDelegate.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return mDelegate.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return mDelegate.executeAtInterval(task, time, unit);
    }
}
