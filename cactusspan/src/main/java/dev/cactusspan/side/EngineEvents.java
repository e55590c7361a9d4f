package dev.cactusspan.side;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.text.CompletionEvent;
import dev.cactusspan.text.EventStreamParser;
import dev.cactusspan.weight.VersionLabeler;

/** Reads the events of an engine's answer and tells a labeler of their tokens. */
final class EngineEvents {
    private final VersionLabeler mLabeler;
    private final EventStreamParser mStream;

    EngineEvents(VersionLabeler labeler) {
        mLabeler = labeler;
        mStream = new EventStreamParser(event -> onEvent(CompletionEvent.of(event)));
    }

    void feed(byte[] data) {
        mStream.feed(data);
    }

    private void onEvent(CompletionEvent event) {
        mLabeler.addPart(event.tokens(), WeightVersion.of(event.weightVersion()));
    }

    /** Tells whether the engine's own end marker came and all events could be read. */
    boolean isComplete() {
        return mStream.isComplete();
    }

    VersionLabeler labeler() {
        return mLabeler;
    }
}
