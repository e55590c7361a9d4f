package dev.cactusspan.gateway;

import dev.cactusspan.peer.PeerClient;
import dev.cactusspan.peer.RelayedStore;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.wire.Message;

/** Passes requests of other processes to the component that answers them. */
final class PeerRequests implements PeerClient.RequestHandler {
    private final KeyStore mStore;
    private final PermitExchange mPermits;
    private final BatchReader mReader;

    PeerRequests(KeyStore store, PermitExchange permits, BatchReader reader) {
        mStore = store;
        mPermits = permits;
        mReader = reader;
    }

    @Override
    public void handle(Message request, PeerClient.ReplyConsumer reply) {
        if (request instanceof Message.StoreRequest storeRequest) {
            RelayedStore.respond(storeRequest, mStore, reply);
            return;
        }
        if (request instanceof Message.PermitsRequest permitsRequest) {
            mPermits.respond(permitsRequest, reply);
            return;
        }
        mReader.respond(request, reply);
    }
}
