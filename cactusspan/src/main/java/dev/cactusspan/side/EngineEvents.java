package dev.cactusspan.side;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.text.CompletionEvent;
import dev.cactusspan.text.EventStream;
import dev.cactusspan.weight.VersionLabeler;

/** Reads the events of an engine's answer and tells a labeler of their tokens. */
final class EngineEvents {
    private final VersionLabeler mLabeler;
    private final EventStream mStream;

    EngineEvents(VersionLabeler labeler) {
        mLabeler = labeler;
        mStream = new EventStream(event -> part(CompletionEvent.of(event)));
    }

    void feed(byte[] data) {
        mStream.feed(data);
    }

    private void part(CompletionEvent event) {
        mLabeler.addPart(event.tokens(), WeightVersion.of(event.weightVersion()));
    }

    /** Tells whether the engine's own end marker came and all events could be read. */
    boolean isWhole() {
        return mStream.isWhole();
    }

    VersionLabeler labeler() {
        return mLabeler;
    }
}
