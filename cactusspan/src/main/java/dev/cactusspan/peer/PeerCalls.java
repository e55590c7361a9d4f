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
 * Questions to other processes over links that are opened on demand. A link that does not begin
 * with a valid hello gets no frame and is closed.
 */
public final class PeerCalls implements LinkListener, AutoCloseable {

    /** Names the system and the version of its frames. */
    private static final String SYSTEM = "cactusspan/1";

    /** An accepted link must begin with a hello within this time, in milliseconds. */
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
     * Creates the calls; {@link #start} opens the port.
     *
     * @param self this process
     * @param thread the thread on which everything happens
     * @param nowMs steady clock in milliseconds
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

    /** Answers questions of other processes. */
    public interface Responder {
        /**
         * Answers a question.
         *
         * @param question the question
         * @param reply takes the answer, now or later
         */
        void answer(Message question, ReplyTaker reply);
    }

    /** Takes an answer. */
    public interface ReplyTaker {
        /**
         * Takes the answer.
         *
         * @param reply the answer
         */
        void take(Message.Reply reply);
    }

    private record Question(
            Link link, long untilMs, CompletableFuture<Result<Message.Reply>> future) {}

    // Operations

    /**
     * Opens the port for links from other processes.
     *
     * @param responder answers their questions
     * @throws IOException if the port cannot be bound
     */
    public void start(Responder responder) throws IOException {
        mResponder = responder;
        mReactor.start(this);
        mReactor.listen(new InetSocketAddress(mSelf.ip(), mSelf.linkPort()));
    }

    /**
     * Asks another process.
     *
     * @param node the process
     * @param question makes the question from its number
     * @param timeoutMs how long to wait for the answer
     * @return the answer; {@code platform_unavailable} if none came
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

    /** Fails questions whose time is up and closes links that did not say hello. */
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

    /** A link that leaves a question without an answer may have gone silent for good. */
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
