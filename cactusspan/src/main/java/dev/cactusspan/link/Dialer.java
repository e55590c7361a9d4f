package dev.cactusspan.link;

import java.net.InetSocketAddress;

/** Opens links to other processes. */
public interface Dialer {

    /**
     * Connects to an address. The outcome is reported to the {@link LinkListener}.
     *
     * @param address IP and port
     * @return the link
     */
    Link connect(InetSocketAddress address);
}
