package dev.cactusspan.chart;

import java.util.Optional;

/**
 * A place in a state chart that follows events.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateMachine<S extends Enum<S>, E extends Enum<E>> {
    private final StateChart<S, E> mChart;
    private S mState;

    private StateMachine(StateChart<S, E> chart) {
        mChart = chart;
        mState = chart.initial();
    }

    /**
     * Starts at the initial state of a chart.
     *
     * @param chart the chart
     * @param <S> the states
     * @param <E> the events
     * @return the position
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateMachine<S, E> of(
            StateChart<S, E> chart) {
        return new StateMachine<>(chart);
    }

    /**
     * Follows an event, if the chart allows it in the present state.
     *
     * @param event the event
     * @return false if the event is not allowed; the state is then the same as before
     */
    public boolean apply(E event) {
        Optional<S> next = mChart.next(mState, event);
        next.ifPresent(state -> mState = state);
        return next.isPresent();
    }

    /**
     * Returns the present state.
     *
     * @return the state
     */
    public S state() {
        return mState;
    }

    /**
     * Tells whether the present state has no way out.
     *
     * @return true for a final state
     */
    public boolean isFinal() {
        return mChart.isFinal(mState);
    }
}
