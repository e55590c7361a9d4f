package dev.cactusspan.platform;

import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TextEvent;
import dev.cactusspan.id.WeightVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes server-sent events. A line before an event's fields announces a change of the weight
 * version.
 */
final class PlatformEvents implements TargetPort.EventDecoder {
    private static final String VERSION_LINE = "weight-versions:";
    private static final String ID_LINE = "id:";
    private static final String DATA_LINE = "data:";

    /** Maximum size of an event in the buffer. */
    static final int MAX_EVENT_BYTES = 128 << 10;

    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private boolean mHasData;
    private long mId = -1;
    private WeightVersion mVersion = WeightVersion.NONE;
    private boolean mIsOverLimit;

    @Override
    public List<TextEvent> feed(byte[] data) {
        List<TextEvent> events = new ArrayList<>();
        for (byte b : data) {
            if (mIsOverLimit) {
                break;
            }
            if (b != '\n') {
                mLine.write(b);
                mIsOverLimit = mLine.size() + mData.length() > MAX_EVENT_BYTES;
                continue;
            }
            String line = mLine.toString(StandardCharsets.UTF_8);
            mLine.reset();
            line(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line, events);
        }
        return events;
    }

    private void line(String line, List<TextEvent> events) {
        if (line.isEmpty()) {
            if (mHasData && mId >= 0) {
                events.add(new TextEvent(mId, mData.toString(), mVersion));
            }
            clear();
            return;
        }
        if (line.startsWith(VERSION_LINE)) {
            long version = number(line.substring(VERSION_LINE.length()));
            mVersion = version < 0 ? WeightVersion.NONE : WeightVersion.of(version);
        } else if (line.startsWith(ID_LINE)) {
            mId = number(line.substring(ID_LINE.length()));
        } else if (line.startsWith(DATA_LINE)) {
            data(line.substring(DATA_LINE.length()));
        }
    }

    private void data(String text) {
        if (mHasData) {
            mData.append('\n');
        }
        mData.append(text.startsWith(" ") ? text.substring(1) : text);
        mHasData = true;
        mIsOverLimit = mData.length() > MAX_EVENT_BYTES;
    }

    /**
     * Parses a number; returns -1 if malformed. An event with such an id is dropped, which leaves a
     * gap that the reader of events detects.
     */
    private static long number(String text) {
        String digits = text.strip();
        return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : -1;
    }

    private void clear() {
        mData.setLength(0);
        mHasData = false;
        mId = -1;
        mVersion = WeightVersion.NONE;
    }

    @Override
    public boolean isInsideEvent() {
        return mLine.size() > 0 || mHasData || mId >= 0;
    }

    @Override
    public boolean isOverLimit() {
        return mIsOverLimit;
    }
}
