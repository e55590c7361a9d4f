package dev.cactusspan.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which resumable streams need a record of their origin. Load pattern: thousands of streams
 * a second, nearly always of one software version, so that the oldest origin of a route needs no
 * record; during an upgrade those of the new version do. While the store is unavailable, streams
 * begin at the oldest origin while any of its targets is known, as the others could not be resumed.
 */
public final class OriginRule {
    private OriginRule() {}

    /**
     * Tells whether a stream needs a record.
     *
     * @param base oldest origin of the route, which streams without a record have
     * @param origin where the stream begins
     * @return false for the oldest origin
     */
    public static boolean needsRecord(Optional<StreamOrigin> base, StreamOrigin origin) {
        return !base.equals(Optional.of(origin));
    }

    /**
     * Tells whether a stream may begin at a target.
     *
     * @param base oldest origin of the route
     * @param origin origin of streams that begin at the target
     * @param present origins of known targets
     * @param isStoreAvailable true if records can be written
     * @return true if it may begin there
     */
    public static boolean mayBegin(
            Optional<StreamOrigin> base,
            StreamOrigin origin,
            Set<StreamOrigin> present,
            boolean isStoreAvailable) {
        return isStoreAvailable
                || !needsRecord(base, origin)
                || base.filter(present::contains).isEmpty();
    }

    /**
     * Returns where a stream without a record began. While no target of the oldest origin is left,
     * streams of others may have been passed on unrecorded.
     *
     * @param listed origins of the route, the oldest first, as the store has them now
     * @param present origins of the targets that the store has now
     * @return the origin, empty if it cannot be told
     */
    public static Optional<StreamOrigin> unrecorded(
            List<StreamOrigin> listed, Set<StreamOrigin> present) {
        return listed.stream().findFirst().filter(present::contains);
    }

    /**
     * Tells whether a stream whose record could not be written may be passed on.
     *
     * @param origin where the stream began
     * @param present origins of known targets
     * @return true if it cannot be resumed at another origin
     */
    public static boolean mayPassUnrecorded(StreamOrigin origin, Set<StreamOrigin> present) {
        return present.stream().allMatch(origin::equals);
    }
}
