package dev.cactusspan.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Reads server-sent events whose data is JSON, and the end marker {@code [DONE]}. */
public final class EventStreamParser {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final Consumer<JsonNode> mOnEvent;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private boolean mIsDone;
    private boolean mIsBroken;

    /**
     * Creates a reader.
     *
     * @param onEvent receives the data of each event
     */
    public EventStreamParser(Consumer<JsonNode> onEvent) {
        mOnEvent = onEvent;
    }

    /**
     * Takes bytes as they come.
     *
     * @param data the bytes
     */
    public void feed(byte[] data) {
        for (byte b : data) {
            if (b != '\n') {
                mIsBroken |= mLine.size() >= MAX_LINE_BYTES;
                if (!mIsBroken) {
                    mLine.write(b);
                }
                continue;
            }
            parseLine(mLine.toString(StandardCharsets.UTF_8).strip());
            mLine.reset();
        }
    }

    private void parseLine(String line) {
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            mIsDone = true;
            return;
        }
        JsonText.parse("event", data)
                .fold(
                        failure -> {
                            mIsBroken = true;
                            return null;
                        },
                        event -> {
                            mOnEvent.accept(event);
                            return null;
                        });
    }

    /**
     * Tells whether the end marker came and all events could be read.
     *
     * @return true if the stream is whole
     */
    public boolean isComplete() {
        return mIsDone && !mIsBroken;
    }
}
