package dev.cactusspan.limit;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue of requests at a target.
 *
 * @param <T> type of the queued items
 */
public interface RequestQueue<T> {

    /**
     * Adds a request.
     *
     * @param item the request
     * @return the request evicted because the queue is full, which may be the new one
     */
    Optional<QueuedItem<T>> add(QueuedItem<T> item);

    /**
     * Removes and returns the next admitted request.
     *
     * @param admitted selects the requests that may run now
     * @return the request, empty if none is admitted
     */
    Optional<QueuedItem<T>> poll(Predicate<QueuedItem<T>> admitted);

    /**
     * Removes all matching requests.
     *
     * @param which selects the requests to remove
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
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    int size();
}
