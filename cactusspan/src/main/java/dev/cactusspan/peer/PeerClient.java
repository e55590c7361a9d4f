package dev.cactusspan.peer;

import dev.cactusspan.id.Revision;
import dev.cactusspan.link.Link;
import dev.cactusspan.link.LinkListener;
import dev.cactusspan.link.LinkReactor;
import dev.cactusspan.link.LinkSettings;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Sends requests to other processes over links that are opened on demand, and serves theirs. An
 * accepted link that does not start with a valid hello is closed, and no frame is sent on it. One
 * on which nothing arrives is closed after a timeout, also without a frame.
 */
public final class PeerClient implements LinkListener, AutoCloseable {

    /** The protocol name and version. */
    private static final String PROTOCOL = "cactusspan/1";

    /** Time within which an accepted link must send a hello, in milliseconds. */
    private static final long HELLO_TIMEOUT_MS = 400;

    private final NodeRecord mSelf;
    private final Predicate<String> mIsKnownAddress;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final LinkReactor mReactor;
    private final Map<String, Link> mLinks = new HashMap<>();
    private final Map<Link, Long> mUnidentifiedLinks = new HashMap<>();
    private final Map<Long, PendingRequest> mPending = new HashMap<>();
    private RequestHandler mHandler = (message, reply) -> {};
    private long mNextNumber = 1;

    /**
     * Creates a client; {@link #start} opens the port.
     *
     * @param self this process
     * @param isKnownAddress tells whether an IP is that of a process of the system; links from
     *     others are closed
     * @param thread runs the callbacks; {@link #request} and {@link #tick} are called on its thread
     * @param nowMs monotonic clock in milliseconds
     * @throws IOException if no selector can be opened
     */
    public PeerClient(
            NodeRecord self, Predicate<String> isKnownAddress, Executor thread, LongSupplier nowMs)
            throws IOException {
        mSelf = self;
        mIsKnownAddress = isKnownAddress;
        mThread = thread;
        mNowMs = nowMs;
        mReactor =
                new LinkReactor(
                        LinkSettings.SMALL_HEAP,
                        () -> Revision.NONE,
                        () -> new Message.Heartbeat(0, false));
    }

    /** Handles requests of other processes. */
    public interface RequestHandler {
        /**
         * Handles a request.
         *
         * @param request the request
         * @param reply receives the reply, now or later
         */
        void handle(Message request, ReplyConsumer reply);
    }

    /** Receives a reply. */
    public interface ReplyConsumer {
        /**
         * Accepts the reply.
         *
         * @param reply the reply
         */
        void accept(Message.Reply reply);
    }

    private record PendingRequest(
            Link link, long deadlineMs, CompletableFuture<Result<Message.Reply>> future) {}

    // Operations

    /**
     * Opens the port for links from other processes.
     *
     * @param handler handles their requests
     * @throws IOException if the port cannot be bound
     */
    public void start(RequestHandler handler) throws IOException {
        mHandler = handler;
        mReactor.start(this);
        mReactor.listen(new InetSocketAddress(mSelf.ip(), mSelf.linkPort()));
    }

    /**
     * Sends a request to another process.
     *
     * @param node the process
     * @param newMessage creates the message from the number of the request
     * @param timeoutMs how long to wait for the reply
     * @return the reply; {@code platform_unavailable} if none arrived
     */
    public CompletableFuture<Result<Message.Reply>> request(
            NodeRecord node, LongFunction<Message> newMessage, long timeoutMs) {
        Link link = mLinks.get(node.owner());
        if (link == null) {
            link = mReactor.connect(new InetSocketAddress(node.ip(), node.linkPort()));
            mLinks.put(node.owner(), link);
            link.send(new Message.PeerHello(PROTOCOL, mSelf.owner()));
        }
        long number = mNextNumber++;
        CompletableFuture<Result<Message.Reply>> future = new CompletableFuture<>();
        mPending.put(number, new PendingRequest(link, mNowMs.getAsLong() + timeoutMs, future));
        if (!link.send(newMessage.apply(number))) {
            fail(number, "the link is down");
        }
        return future;
    }

    private void fail(long number, String reason) {
        PendingRequest pending = mPending.remove(number);
        if (pending != null) {
            pending.future().complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, reason));
        }
    }

    /** Fails requests that have timed out, and closes links that did not send a hello. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        List<Long> timedOut = new ArrayList<>();
        mPending.forEach(
                (number, pending) -> {
                    if (nowMs >= pending.deadlineMs()) {
                        timedOut.add(number);
                    }
                });
        timedOut.forEach(this::timeOut);
        mUnidentifiedLinks
                .entrySet()
                .removeIf(
                        e -> {
                            boolean isLate = nowMs - e.getValue() > HELLO_TIMEOUT_MS;
                            if (isLate) {
                                e.getKey().close("no hello");
                            }
                            return isLate;
                        });
    }

    /** Fails a request and closes its link, which may have stopped working for good. */
    private void timeOut(long number) {
        mPending.get(number).link().close("no answer in time");
        fail(number, "no answer in time");
    }

    // Link events, called on the reactor's thread

    @Override
    public void onUp(Link link) {
        mThread.execute(
                () -> {
                    if (!mLinks.containsValue(link)) {
                        mUnidentifiedLinks.put(link, mNowMs.getAsLong());
                    }
                });
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        mThread.execute(() -> received(link, frame.message()));
    }

    @Override
    public void onDown(Link link, String reason) {
        mThread.execute(() -> disconnected(link, reason));
    }

    private void received(Link link, Message message) {
        boolean isHello =
                message instanceof Message.PeerHello hello && hello.system().equals(PROTOCOL);
        if (isHello && mIsKnownAddress.test(address(link))) {
            mUnidentifiedLinks.remove(link);
            return;
        }
        if (isHello) {
            link.close("the hello comes from no process of the system");
            return;
        }
        if (mUnidentifiedLinks.containsKey(link)) {
            mUnidentifiedLinks.remove(link);
            link.close("the first frame is no hello");
            return;
        }
        if (message instanceof Message.Reply reply) {
            PendingRequest pending = mPending.remove(reply.ask());
            if (pending != null) {
                pending.future().complete(Result.of(reply));
            }
            return;
        }
        if (isRequest(message)) {
            mHandler.handle(message, link::send);
        }
    }

    private static String address(Link link) {
        return link.remote().substring(0, link.remote().lastIndexOf(':'));
    }

    private static boolean isRequest(Message message) {
        return message instanceof Message.ResultsRequest
                || message instanceof Message.StoreRequest
                || message instanceof Message.PermitsRequest;
    }

    private void disconnected(Link link, String reason) {
        mUnidentifiedLinks.remove(link);
        if (mLinks.values().remove(link)) {
            Decision.of("peer_lost").with("peer", link.remote()).with("reason", reason).info();
        }
        List<Long> failed = new ArrayList<>();
        mPending.forEach(
                (number, pending) -> {
                    if (pending.link() == link) {
                        failed.add(number);
                    }
                });
        failed.forEach(number -> fail(number, reason));
    }

    @Override
    public void close() {
        mReactor.close();
    }
}
