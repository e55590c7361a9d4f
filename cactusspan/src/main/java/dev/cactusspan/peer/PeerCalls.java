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

/**
 * Sends requests to other processes over links that are opened on demand, and serves theirs. An
 * accepted link whose first frame is not a valid hello is closed without a response.
 */
public final class PeerCalls implements LinkListener, AutoCloseable {

    /** The protocol name and version. */
    private static final String SYSTEM = "cactusspan/1";

    /** Time within which an accepted link must send a hello, in milliseconds. */
    private static final long HELLO_MS = 400;

    private final NodeRecord mSelf;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final LinkReactor mReactor;
    private final Map<String, Link> mLinks = new HashMap<>();
    private final Map<Link, Long> mStrangers = new HashMap<>();
    private final Map<Long, Question> mQuestions = new HashMap<>();
    private Responder mResponder = (message, reply) -> {};
    private long mNextAsk = 1;

    /**
     * Creates a client; {@link #start} opens the port.
     *
     * @param self this process
     * @param thread runs the callbacks; all methods but the link events are called on its thread
     * @param nowMs monotonic clock in milliseconds
     * @throws IOException if no selector can be opened
     */
    public PeerCalls(NodeRecord self, Executor thread, LongSupplier nowMs) throws IOException {
        mSelf = self;
        mThread = thread;
        mNowMs = nowMs;
        mReactor =
                new LinkReactor(
                        LinkSettings.STANDARD,
                        () -> Revision.NONE,
                        () -> new Message.Heartbeat(0, false));
    }

    /** Handles requests of other processes. */
    public interface Responder {
        /**
         * Handles a request.
         *
         * @param question the request
         * @param reply receives the reply, now or later
         */
        void answer(Message question, ReplyTaker reply);
    }

    /** Receives a reply. */
    public interface ReplyTaker {
        /**
         * Accepts the reply.
         *
         * @param reply the reply
         */
        void take(Message.Reply reply);
    }

    private record Question(
            Link link, long untilMs, CompletableFuture<Result<Message.Reply>> future) {}

    // Operations

    /**
     * Opens the port for links from other processes.
     *
     * @param responder handles their requests
     * @throws IOException if the port cannot be bound
     */
    public void start(Responder responder) throws IOException {
        mResponder = responder;
        mReactor.start(this);
        mReactor.listen(new InetSocketAddress(mSelf.ip(), mSelf.linkPort()));
    }

    /**
     * Sends a request to another process.
     *
     * @param node the process
     * @param question creates the message from the number of the request
     * @param timeoutMs how long to wait for the reply
     * @return the reply; {@code platform_unavailable} if none arrived
     */
    public CompletableFuture<Result<Message.Reply>> ask(
            NodeRecord node, LongFunction<Message> question, long timeoutMs) {
        Link link = mLinks.get(node.owner());
        if (link == null) {
            link = mReactor.connect(new InetSocketAddress(node.ip(), node.linkPort()));
            mLinks.put(node.owner(), link);
            link.send(new Message.PeerHello(SYSTEM, mSelf.owner()));
        }
        long ask = mNextAsk++;
        CompletableFuture<Result<Message.Reply>> future = new CompletableFuture<>();
        mQuestions.put(ask, new Question(link, mNowMs.getAsLong() + timeoutMs, future));
        if (!link.send(question.apply(ask))) {
            fail(ask, "the link is down");
        }
        return future;
    }

    private void fail(long ask, String reason) {
        Question question = mQuestions.remove(ask);
        if (question != null) {
            question.future().complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, reason));
        }
    }

    /** Fails requests that have timed out, and closes links that did not send a hello. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        List<Long> late = new ArrayList<>();
        mQuestions.forEach(
                (ask, question) -> {
                    if (nowMs >= question.untilMs()) {
                        late.add(ask);
                    }
                });
        late.forEach(this::late);
        mStrangers
                .entrySet()
                .removeIf(
                        e -> {
                            boolean isLate = nowMs - e.getValue() > HELLO_MS;
                            if (isLate) {
                                e.getKey().close("no hello");
                            }
                            return isLate;
                        });
    }

    /** Fails a request and closes its link, which may have stopped working for good. */
    private void late(long ask) {
        mQuestions.get(ask).link().close("no answer in time");
        fail(ask, "no answer in time");
    }

    // Links, on the reactor's thread

    @Override
    public void onUp(Link link) {
        mThread.execute(
                () -> {
                    if (!mLinks.containsValue(link)) {
                        mStrangers.put(link, mNowMs.getAsLong());
                    }
                });
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        mThread.execute(() -> took(link, frame.message()));
    }

    @Override
    public void onDown(Link link, String reason) {
        mThread.execute(() -> down(link, reason));
    }

    private void took(Link link, Message message) {
        if (message instanceof Message.PeerHello hello && hello.system().equals(SYSTEM)) {
            mStrangers.remove(link);
            return;
        }
        if (mStrangers.containsKey(link)) {
            mStrangers.remove(link);
            link.close("the first frame is no hello");
            return;
        }
        if (message instanceof Message.Reply reply) {
            Question question = mQuestions.remove(reply.ask());
            if (question != null) {
                question.future().complete(Result.of(reply));
            }
            return;
        }
        if (isQuestion(message)) {
            mResponder.answer(message, link::send);
        }
    }

    private static boolean isQuestion(Message message) {
        return message instanceof Message.AskResults || message instanceof Message.AskStore;
    }

    private void down(Link link, String reason) {
        mStrangers.remove(link);
        if (mLinks.values().remove(link)) {
            Decision.of("peer_lost").with("peer", link.remote()).with("reason", reason).info();
        }
        List<Long> failed = new ArrayList<>();
        mQuestions.forEach(
                (ask, question) -> {
                    if (question.link() == link) {
                        failed.add(ask);
                    }
                });
        failed.forEach(ask -> fail(ask, reason));
    }

    @Override
    public void close() {
        mReactor.close();
    }
}
