package dev.cactusspan.chart;

import com.fasterxml.jackson.core.type.TypeReference;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State chart over enumerated states and events, read from a resource and validated on loading.
 *
 * @param <S> type of the states
 * @param <E> type of the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final S mInitial;
    private final Map<S, Map<E, S>> mTransitions;

    private StateChart(S initial, Map<S, Map<E, S>> transitions) {
        mInitial = initial;
        mTransitions = transitions;
    }

    /**
     * Loads and validates a chart: each name is known, each state except the initial one is the
     * target of a transition, and each state has a row.
     *
     * @param path absolute resource path
     * @param states enum of the states
     * @param events enum of the events
     * @param <S> type of the states
     * @param <E> type of the events
     * @return the chart
     * @throws IllegalStateException if the chart is not consistent
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String path, Class<S> states, Class<E> events) {
        Source source = JsonText.readResource(path, new TypeReference<>() {});
        List<String> problems = new ArrayList<>();
        Map<S, Map<E, S>> transitions = new EnumMap<>(states);
        for (Map.Entry<String, Map<String, String>> row : source.states().entrySet()) {
            Map<E, S> nextStates = row(row.getValue(), states, events, problems);
            parse(states, row.getKey(), problems).ifPresent(s -> transitions.put(s, nextStates));
        }
        Optional<S> initial = parse(states, source.initial(), problems);
        for (S state : states.getEnumConstants()) {
            boolean isReached = transitions.values().stream().anyMatch(t -> t.containsValue(state));
            if (!transitions.containsKey(state)) {
                problems.add("no row for state " + state);
            }
            if (!isReached && !initial.equals(Optional.of(state))) {
                problems.add("state " + state + " is never reached");
            }
        }
        if (!problems.isEmpty()) {
            throw new IllegalStateException(path + ": " + String.join("; ", problems));
        }
        return new StateChart<>(initial.orElseThrow(), transitions);
    }

    private static <S extends Enum<S>, E extends Enum<E>> Map<E, S> row(
            Map<String, String> row, Class<S> states, Class<E> events, List<String> problems) {
        Map<E, S> nextStates = new EnumMap<>(events);
        for (Map.Entry<String, String> transition : row.entrySet()) {
            Optional<E> event = parse(events, transition.getKey(), problems);
            Optional<S> state = parse(states, transition.getValue(), problems);
            if (event.isPresent() && state.isPresent()) {
                nextStates.put(event.get(), state.get());
            }
        }
        return nextStates;
    }

    private static <T extends Enum<T>> Optional<T> parse(
            Class<T> type, String name, List<String> problems) {
        for (T constant : type.getEnumConstants()) {
            if (constant.name().equalsIgnoreCase(name)) {
                return Optional.of(constant);
            }
        }
        problems.add("unknown name " + name);
        return Optional.empty();
    }

    /**
     * Returns the initial state.
     *
     * @return the state
     */
    public S initial() {
        return mInitial;
    }

    /**
     * Returns the next state, or empty if the event is not allowed in the current state.
     *
     * @param state the current state
     * @param event the event
     * @return the next state
     */
    public Optional<S> next(S state, E event) {
        return Optional.ofNullable(mTransitions.get(state).get(event));
    }

    /**
     * Returns whether a state has no outgoing transitions.
     *
     * @param state the state
     * @return true for a final state
     */
    public boolean isFinal(S state) {
        return mTransitions.get(state).isEmpty();
    }

    private record Source(String initial, Map<String, Map<String, String>> states) {}
}
