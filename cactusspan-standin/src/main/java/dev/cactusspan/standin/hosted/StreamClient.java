package dev.cactusspan.standin.hosted;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/** A client that resumes its stream at the next process until it is whole, and verifies it. */
final class StreamClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final long RETRY_DELAY_MS = 150;

    private final List<GatewayNode> mNodes;
    private final ObservationLog mObservations;
    private final HttpClient mHttp =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final Set<String> mSoftware = new HashSet<>();
    private Optional<String> mFirst = Optional.empty();
    private int mLastEvent;
    private int mResumptions;
    private int mContinued;
    private int mNext;

    /**
     * Creates a client.
     *
     * @param nodes the processes that receive its requests
     * @param observations log of violations
     * @param number number of the client, which chooses its first process
     */
    StreamClient(List<GatewayNode> nodes, ObservationLog observations, int number) {
        mNodes = nodes;
        mObservations = observations;
        mNext = number;
    }

    /**
     * Reads one stream, resuming it after each break.
     *
     * @param timeoutMs time after which it gives up, in milliseconds
     * @return true if the stream is whole
     */
    boolean read(long timeoutMs) {
        long untilMs = System.currentTimeMillis() + timeoutMs;
        while (mLastEvent < TargetEmulator.STREAM_EVENTS && System.currentTimeMillis() < untilMs) {
            try {
                attempt(UUID.randomUUID().toString().replace("-", ""));
                Thread.sleep(RETRY_DELAY_MS);
            } catch (IOException e) {
                // The process is down or was killed; the stream is resumed at the next one.
                mNext++;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        if (mSoftware.size() > 1) {
            mObservations.addViolation("a stream holds events of " + mSoftware);
        }
        return mLastEvent == TargetEmulator.STREAM_EVENTS;
    }

    private void attempt(String id) throws IOException, InterruptedException {
        GatewayNode node = mNodes.get(Math.floorMod(mNext++, mNodes.size()));
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + node.clientPort()
                                                + TargetEmulator.STREAM_PREFIX
                                                + id))
                        .timeout(REQUEST_TIMEOUT)
                        .header("X-Api-Key", HostedClients.KEY)
                        .header("Attempt-Id", id)
                        .header("Deadline-Ms", Long.toString(REQUEST_TIMEOUT.toMillis()))
                        .POST(HttpRequest.BodyPublishers.ofString("s"));
        mFirst.ifPresent(
                first ->
                        request.header("Last-Event-Id", Integer.toString(mLastEvent))
                                .header("Resumes", first));
        HttpResponse<InputStream> response =
                mHttp.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        if (mFirst.isPresent()) {
            mResumptions++;
            mContinued += response.statusCode() == 200 ? 1 : 0;
        }
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            if (response.statusCode() == 200) {
                readEvents(id, lines);
            }
        }
    }

    private void readEvents(String id, BufferedReader lines) throws IOException {
        int event = 0;
        String data = "";
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith("id: ")) {
                event = Integer.parseInt(line.substring(4));
            } else if (line.startsWith("data: ")) {
                data = line.substring(6);
            } else if (line.isEmpty()) {
                accept(id, event, data);
            } else if (!line.startsWith("weight-versions: ")) {
                mObservations.addViolation(id + ": not a line of an event: " + line);
            }
        }
        if (mLastEvent < TargetEmulator.STREAM_EVENTS) {
            mObservations.addViolation(id + ": the response ended as complete at " + mLastEvent);
        }
    }

    private void accept(String id, int event, String data) {
        if (event != mLastEvent + 1) {
            mObservations.addViolation(id + ": event " + event + " follows " + mLastEvent);
        }
        mLastEvent = event;
        mSoftware.add(data);
        mFirst = mFirst.or(() -> Optional.of(id));
    }

    int resumptions() {
        return mResumptions;
    }

    int continued() {
        return mContinued;
    }
}
