package dev.cactusspan.link;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.Revision;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Reads and writes all links of a process on one thread. */
public final class LinkReactor implements Dialer, AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int READ_BUFFER_BYTES = 64 << 10;
    private static final long TICK_MS = 100;
    private static final long JOIN_MS = 2_000;

    private final LinkSettings mSettings;
    private LinkListener mListener;
    private final Supplier<Revision> mRevision;
    private final Supplier<Message> mHeartbeat;
    private final Selector mSelector;
    private final Queue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer mReadBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final Thread mThread;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicLong mReceivedBytes = new AtomicLong();
    private volatile boolean mClosed;

    /**
     * Creates a reactor; {@link #start} starts its thread.
     *
     * @param settings intervals and limits
     * @param revision supplies the revision that is sent with each frame
     * @param heartbeat supplies heartbeat messages
     * @throws IOException if no selector can be opened
     */
    public LinkReactor(
            LinkSettings settings, Supplier<Revision> revision, Supplier<Message> heartbeat)
            throws IOException {
        mSettings = settings;
        mRevision = revision;
        mHeartbeat = heartbeat;
        mSelector = Selector.open();
        mThread = new Thread(this::run, "links");
        mThread.setDaemon(true);
    }

    // Operations

    /**
     * Starts the thread.
     *
     * @param listener receives the events of all links
     */
    public void start(LinkListener listener) {
        mListener = listener;
        mThread.start();
    }

    /**
     * Accepts links at an address.
     *
     * @param address IP and port; port zero selects a free one
     * @return the bound port
     * @throws IOException if the address cannot be bound
     */
    public int listen(InetSocketAddress address) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.configureBlocking(false);
        server.bind(address);
        execute(() -> register(server));
        return server.socket().getLocalPort();
    }

    private void register(ServerSocketChannel server) {
        try {
            server.register(mSelector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            sLog.atSevere().withCause(e).log("cannot register a server socket with the selector");
        }
    }

    @Override
    public Link connect(InetSocketAddress address) {
        ReactorLink link = new ReactorLink(this, address, false);
        execute(() -> open(link, address));
        return link;
    }

    private void open(ReactorLink link, InetSocketAddress address) {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            link.attach(channel, channel.register(mSelector, SelectionKey.OP_CONNECT, link));
            channel.connect(address);
        } catch (IOException e) {
            drop(link, "cannot connect: " + e.getMessage());
        }
    }

    void execute(Runnable task) {
        mTasks.add(task);
        mSelector.wakeup();
    }

    Frame frame(Message message) {
        return new Frame(mRevision.get(), message);
    }

    LinkSettings settings() {
        return mSettings;
    }

    private void run() {
        long nextTickMs = nowMs() + TICK_MS;
        while (!mClosed) {
            try {
                mSelector.select(Math.max(1, nextTickMs - nowMs()));
                runTasks();
                handleKeys();
                if (nowMs() >= nextTickMs) {
                    nextTickMs = nowMs() + TICK_MS;
                    tick();
                }
            } catch (IOException | RuntimeException e) {
                sLog.atSevere().withCause(e).log("error in the link reactor; continuing");
            }
        }
        closeAll();
    }

    private void runTasks() {
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            task.run();
        }
    }

    private void handleKeys() throws IOException {
        for (Iterator<SelectionKey> it = mSelector.selectedKeys().iterator(); it.hasNext(); ) {
            SelectionKey key = it.next();
            it.remove();
            if (!key.isValid()) {
                continue;
            }
            if (key.isAcceptable()) {
                accept((ServerSocketChannel) key.channel());
                continue;
            }
            ReactorLink link = (ReactorLink) key.attachment();
            try {
                handle(key, link);
            } catch (IOException e) {
                drop(link, String.valueOf(e.getMessage()));
            }
        }
    }

    private void accept(ServerSocketChannel server) throws IOException {
        SocketChannel channel = server.accept();
        if (channel == null) {
            return;
        }
        if (!makeRoomForLink()) {
            channel.close();
            return;
        }
        channel.configureBlocking(false);
        ReactorLink link =
                new ReactorLink(this, (InetSocketAddress) channel.getRemoteAddress(), true);
        link.attach(channel, channel.register(mSelector, SelectionKey.OP_READ, link));
        link.connected(nowMs());
        mListener.onUp(link);
    }

    /** At the limit, closes the oldest accepted link that has not said what it is. */
    private boolean makeRoomForLink() {
        List<ReactorLink> accepted = links().filter(ReactorLink::isAccepted).toList();
        if (accepted.size() < mSettings.maxAccepted()) {
            return true;
        }
        Optional<ReactorLink> oldest =
                accepted.stream()
                        .filter(ReactorLink::isUnidentified)
                        .min(Comparator.comparingLong(ReactorLink::upSinceMs));
        oldest.ifPresent(link -> drop(link, "too many links"));
        return oldest.isPresent();
    }

    private Stream<ReactorLink> links() {
        return mSelector.keys().stream()
                .filter(SelectionKey::isValid)
                .map(SelectionKey::attachment)
                .filter(ReactorLink.class::isInstance)
                .map(ReactorLink.class::cast);
    }

    private void handle(SelectionKey key, ReactorLink link) throws IOException {
        if (key.isConnectable() && link.finishConnect(nowMs())) {
            mListener.onUp(link);
        }
        if (key.isValid() && key.isWritable()) {
            link.flush(nowMs());
        }
        if (key.isValid() && key.isReadable()) {
            read(link);
        }
    }

    private void read(ReactorLink link) throws IOException {
        mReadBuffer.clear();
        int count = link.read(mReadBuffer, nowMs());
        if (count < 0) {
            drop(link, "closed by the other end");
            return;
        }
        mReceivedBytes.addAndGet(count);
        mReadBuffer.flip();
        int pendingBefore = link.pendingBytes();
        link.decode(mReadBuffer, nowMs())
                .fold(
                        failure -> {
                            sLog.atWarning().log("link %s closed: %s", link.remote(), failure);
                            drop(link, failure.detail());
                            return null;
                        },
                        frames -> {
                            frames.forEach(frame -> mListener.onFrame(link, frame));
                            return null;
                        });
        boolean isGrowing = link.pendingBytes() > pendingBefore;
        if (isGrowing && pendingBytes() > mSettings.maxPendingBytes()) {
            drop(link, "incomplete frames take over " + mSettings.maxPendingBytes() + " bytes");
        }
    }

    private long pendingBytes() {
        return links().mapToLong(ReactorLink::pendingBytes).sum();
    }

    private void tick() {
        long nowMs = nowMs();
        for (SelectionKey key : mSelector.keys()) {
            if (!(key.attachment() instanceof ReactorLink link)) {
                continue;
            }
            if (link.silentMs(nowMs) > mSettings.silenceMs()) {
                drop(link, "silent for " + link.silentMs(nowMs) + " ms");
                continue;
            }
            if (link.isFrameLate(nowMs)) {
                drop(link, "a frame arrives too slowly");
                continue;
            }
            if (link.isUp() && link.idleMs(nowMs) >= mSettings.heartbeatMs()) {
                link.send(mHeartbeat.get());
            }
        }
    }

    void drop(ReactorLink link, String reason) {
        if (link.release()) {
            mListener.onDown(link, reason);
        }
    }

    void countSent(int bytes) {
        mSentBytes.addAndGet(bytes);
    }

    /**
     * Returns the number of bytes sent on all links.
     *
     * @return bytes since the start
     */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /**
     * Returns the number of bytes received on all links.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return mReceivedBytes.get();
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void closeAll() {
        for (SelectionKey key : mSelector.keys()) {
            try {
                key.channel().close();
            } catch (IOException e) {
                sLog.atFine().withCause(e).log("close");
            }
        }
        try {
            mSelector.close();
        } catch (IOException e) {
            sLog.atFine().withCause(e).log("close");
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mSelector.wakeup();
        try {
            mThread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
