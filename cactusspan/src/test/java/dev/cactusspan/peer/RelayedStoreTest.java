package dev.cactusspan.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests store operations that one process relays for another. */
final class RelayedStoreTest {
    private final FakeKeyStore mStore = new FakeKeyStore(new ManualThread());

    private StoreResponse call(StoreOperation operation) {
        List<Message.Reply> replies = new ArrayList<>();
        RelayedStore.respond(
                new Message.StoreRequest(7, JsonText.write(operation)), mStore, replies::add);
        assertThat(replies.get(0).ask(), is(7L));
        return JsonText.read(replies.get(0).body(), StoreResponse.class).get();
    }

    private static Transaction write(long expected) {
        return Transaction.of(
                List.of(new Transaction.Expectation("k", expected)),
                List.of(new Transaction.Write("k", new byte[] {1, 2}, 0)));
    }

    @Test
    void shouldApplyATransactionAndReadItBack() {
        long revision = call(StoreOperation.commit(write(0))).number();
        StoreResponse read = call(StoreOperation.get("k"));
        assertThat(read.items().get(0).revision(), is(revision));
        assertThat(read.items().get(0).value()[1], is((byte) 2));
        assertThat(call(StoreOperation.range("k", "")).items().size(), is(1));
    }

    @Test
    void shouldRelayAConflict() {
        call(StoreOperation.commit(write(0)));
        Result<Long> second = call(StoreOperation.commit(write(0))).map(StoreResponse::number);
        assertThat(second.<Object>fold(f -> f.kind(), v -> v), is(ErrorKind.CONFLICT));
    }

    @Test
    void shouldRelayThatTheStoreIsUnavailable() {
        mStore.setDown(true);
        Result<Long> renewed = call(StoreOperation.renew(5)).map(StoreResponse::number);
        assertThat(renewed.<Object>fold(f -> f.kind(), v -> v), is(ErrorKind.PLATFORM_UNAVAILABLE));
    }
}
