package dev.cactusspan.limit;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A bounded queue of requests before a target.
 *
 * @param <T> type of what waits
 */
public interface RequestQueue<T> {

    /**
     * Adds a request.
     *
     * @param item the request
     * @return the request that had to leave because the queue is full, which may be the new one
     */
    Optional<QueuedItem<T>> add(QueuedItem<T> item);

    /**
     * Takes the next request whose class is admitted.
     *
     * @param admitted which requests may be taken now
     * @return the request, if there is one
     */
    Optional<QueuedItem<T>> poll(Predicate<QueuedItem<T>> admitted);

    /**
     * Removes requests.
     *
     * @param which the requests to remove
     * @return the removed requests
     */
    List<QueuedItem<T>> removeIf(Predicate<QueuedItem<T>> which);

    /**
     * Estimates how many requests are served before a new one.
     *
     * @param item the new request
     * @return the number of requests
     */
    int ahead(QueuedItem<T> item);

    /**
     * Returns how many requests wait.
     *
     * @return the number of requests
     */
    int size();
}
