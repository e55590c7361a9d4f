package dev.cactusspan.chart;

import java.util.Optional;

/**
 * State machine that follows the transitions of a state chart.
 *
 * @param <S> type of the states
 * @param <E> type of the events
 */
public final class StateMachine<S extends Enum<S>, E extends Enum<E>> {
    private final StateChart<S, E> mChart;
    private S mState;

    private StateMachine(StateChart<S, E> chart) {
        mChart = chart;
        mState = chart.initial();
    }

    /**
     * Creates a state machine in the initial state of a chart.
     *
     * @param chart the chart
     * @param <S> type of the states
     * @param <E> type of the events
     * @return the state machine
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateMachine<S, E> of(
            StateChart<S, E> chart) {
        return new StateMachine<>(chart);
    }

    /**
     * Applies an event if the chart allows it in the current state.
     *
     * @param event the event
     * @return false if the event is not allowed, in which case the state is unchanged
     */
    public boolean apply(E event) {
        Optional<S> next = mChart.next(mState, event);
        next.ifPresent(state -> mState = state);
        return next.isPresent();
    }

    /**
     * Returns the current state.
     *
     * @return the state
     */
    public S state() {
        return mState;
    }

    /**
     * Returns whether the current state has no outgoing transitions.
     *
     * @return true for a final state
     */
    public boolean isFinal() {
        return mChart.isFinal(mState);
    }
}
