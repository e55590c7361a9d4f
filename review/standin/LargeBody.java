import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * One client sends a request with a body of 33 MB, below the limit of the desired state, and
 * repeats it once at another entry if there is no answer. Others send small requests meanwhile.
 */
public final class LargeBody {
    /** Size of the body with trouble; {@code max_body_bytes} is 33,554,432. */
    private static final int LARGE_BYTES = 33_000_000;

    private static final int SMALL_BYTES = 600;
    private static final int ROUNDS = 6;
    private static final long ROUND_MS = 10_000;
    private static final int CLIENT_TIMEOUT_MS = 3_000;

    private LargeBody() {}

    /**
     * Runs the case.
     *
     * @param arguments as described for {@link Case}
     */
    public static void main(String[] arguments) {
        Case.main(arguments, LargeBody::play);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble)
            throws Exception {
        deployment.putDesiredState(List.of(Quotes.route()), List.of(Quotes.service()));
        Quotes quotes = new Quotes(deployment, record);
        quotes.startWorkers(3);
        deployment.startEntries(2);
        quotes.startClients(16);
        Thread.sleep(2_000);
        byte[] body = new byte[hasTrouble ? LARGE_BYTES : SMALL_BYTES];
        for (int round = 0; round < ROUNDS; round++) {
            long startMs = Store.nowMs();
            for (int attempt = 0; attempt < 2; attempt++) {
                if (send(deployment, record, round, attempt, body) > 0) {
                    break;
                }
                Thread.sleep(300);
            }
            Thread.sleep(Math.max(0, ROUND_MS - (Store.nowMs() - startMs)));
        }
        quotes.stopClients();
        return check(deployment, record, quotes);
    }

    private static int send(
            Deployment deployment, Record record, int round, int attempt, byte[] body) {
        Deployment.Entry entry = deployment.entries.get((round + attempt) % 2);
        String id = String.format("bb%02x%012x", round, attempt);
        record.report("%s with a body of %d bytes goes to %s", id, body.length, entry.name);
        int status = 0;
        try (Http.Connection connection =
                Http.Connection.open(entry.clientAddress(), CLIENT_TIMEOUT_MS)) {
            connection.write(
                    Http.bytes(
                            "POST " + Quotes.PATH + " HTTP/1.1",
                            Map.of(
                                    "Host", Deployment.HOST,
                                    "Attempt-Id", id,
                                    "Deadline-Ms", Integer.toString(CLIENT_TIMEOUT_MS),
                                    "X-Api-Key", "key-1"),
                            body));
            status = Http.read(connection, false).status();
            record.report("%s is answered %d", id, status);
        } catch (IOException e) {
            record.report("%s has no answer: %s", id, e);
        }
        return status;
    }

    private static int check(Deployment deployment, Record record, Quotes quotes) {
        int failing = 0;
        for (Deployment.Entry entry : deployment.entries) {
            record.report("%s ended by itself %d times", entry.name, entry.exitCount());
            failing += entry.exitCount() >= 3 ? 1 : 0;
        }
        boolean isFault = failing >= 2;
        record.report("Fault: %d processes ended by themselves three times (2 break it)", failing);
        boolean isBroken = quotes.isRuleBroken();
        if (quotes.served() < 100) {
            return Case.NOT_RUN;
        }
        return isFault || isBroken ? Case.BROKEN : Case.HELD;
    }
}
