package dev.cactusspan.chart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Loading of valid and inconsistent charts. */
final class StateChartTest {
    private static final String VALID_CHART = "/charts/good.json";
    private static final String INVALID_CHART = "/charts/bad.json";

    /** States of the test chart. */
    enum State {
        OPEN,
        SHUT
    }

    /** Events of the test chart. */
    enum Event {
        CLOSE
    }

    @Test
    void shouldFollowTheChart() {
        StateChart<State, Event> chart = StateChart.load(VALID_CHART, State.class, Event.class);
        assertThat(chart.initial(), is(State.OPEN));
        assertThat(chart.next(State.OPEN, Event.CLOSE), is(Optional.of(State.SHUT)));
        assertThat(chart.next(State.SHUT, Event.CLOSE), is(Optional.empty()));
        assertThat(chart.isFinal(State.SHUT), is(true));
    }

    @Test
    void shouldReportAllProblemsOfAChart() {
        IllegalStateException exception =
                assertThrows(
                        IllegalStateException.class,
                        () -> StateChart.load(INVALID_CHART, State.class, Event.class));
        assertThat(exception.getMessage(), containsString("unknown name explode"));
        assertThat(exception.getMessage(), containsString("state SHUT is never reached"));
        assertThat(exception.getMessage(), containsString("no row for state SHUT"));
    }
}
