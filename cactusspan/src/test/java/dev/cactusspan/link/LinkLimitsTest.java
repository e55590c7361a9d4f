package dev.cactusspan.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.Revision;
import dev.cactusspan.wire.Frame;
import dev.cactusspan.wire.FrameCodec;
import dev.cactusspan.wire.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends what no process of the system sends to the port for links. */
final class LinkLimitsTest {
    private static final int TIMEOUT_MS = 20_000;
    private static final LinkSettings SETTINGS =
            new LinkSettings(100_000, 3_000, 1 << 20, 256, 3, 10_000);

    private final BlockingQueue<String> mDown = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> mFrames = new LinkedBlockingQueue<>();
    private final List<Socket> mSockets = new ArrayList<>();
    private LinkReactor mReactor;
    private int mPort;

    @BeforeEach
    void listen() throws IOException {
        mReactor =
                new LinkReactor(
                        SETTINGS, () -> Revision.NONE, () -> new Message.Heartbeat(0, false));
        mReactor.start(
                new LinkListener() {
                    @Override
                    public void onUp(Link link) {}

                    @Override
                    public void onFrame(Link link, Frame frame) {
                        mFrames.add(frame);
                    }

                    @Override
                    public void onDown(Link link, String reason) {
                        mDown.add(reason);
                    }
                });
        mPort = mReactor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mReactor.close();
    }

    private Socket connect(byte[] bytes) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort);
        mSockets.add(socket);
        socket.getOutputStream().write(bytes);
        return socket;
    }

    private static byte[] hello() {
        ByteBuffer frame =
                FrameCodec.encode(
                        new Frame(Revision.NONE, new Message.PeerHello("cactusspan/1", "a#1")));
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return bytes;
    }

    private static byte[] length(int length) {
        return ByteBuffer.allocate(FrameCodec.LENGTH_BYTES).putInt(length).array();
    }

    private String nextDown() throws InterruptedException {
        String reason = mDown.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return reason == null ? "nothing was closed" : reason;
    }

    @Test
    void shouldCloseLinksWhoseFirstFrameIsNoHelloBySize() throws Exception {
        connect(length(Integer.MAX_VALUE));
        assertThat(nextDown(), containsString("frame length 2147483647 is not in 1..256"));
        connect(length(257));
        assertThat(nextDown(), containsString("frame length 257"));
    }

    @Test
    void shouldCloseALinkWhoseFrameTrickles() throws Exception {
        Socket socket = connect(hello());
        assertThat(mFrames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, is(true));
        socket.getOutputStream().write(length(100_000));
        for (int i = 0; i < 80 && mDown.isEmpty(); i++) {
            socket.getOutputStream().write(0);
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertThat(nextDown(), is("a frame arrives too slowly"));
    }

    @Test
    void shouldLimitIncompleteFramesOfAllLinks() throws Exception {
        for (int i = 0; i < 2; i++) {
            Socket socket = connect(hello());
            socket.getOutputStream().write(length(100_000));
            socket.getOutputStream().write(new byte[6_000]);
        }
        assertThat(nextDown(), containsString("over 10000 bytes"));
    }

    @Test
    void shouldCloseTheOldestSilentLinkForANewOne() throws Exception {
        Socket known = connect(hello());
        assertThat(mFrames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, is(true));
        connect(new byte[0]);
        connect(new byte[0]);
        connect(hello());
        assertThat(nextDown(), is("too many links"));
        assertThat(mFrames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, is(true));
        known.getOutputStream().write(hello());
        assertThat(mFrames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, is(true));
    }
}
