package dev.cactusspan.side;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.text.CompletionEvent;
import dev.cactusspan.text.EventStreamParser;
import dev.cactusspan.weight.VersionLabeler;

/** Parses the events of an engine's streamed response and passes their tokens to a labeler. */
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

    /** Returns whether the engine's end marker was received and all events could be parsed. */
    boolean isComplete() {
        return mStream.isComplete();
    }

    VersionLabeler labeler() {
        return mLabeler;
    }
}
