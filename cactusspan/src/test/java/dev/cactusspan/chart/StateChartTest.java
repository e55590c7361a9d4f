package dev.cactusspan.chart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Loads charts and refuses inconsistent ones. */
final class StateChartTest {
    private static final String GOOD = "/charts/good.json";
    private static final String BAD = "/charts/bad.json";

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
        StateChart<State, Event> chart = StateChart.load(GOOD, State.class, Event.class);
        assertThat(chart.initial(), is(State.OPEN));
        assertThat(chart.next(State.OPEN, Event.CLOSE), is(Optional.of(State.SHUT)));
        assertThat(chart.next(State.SHUT, Event.CLOSE), is(Optional.empty()));
        assertThat(chart.isFinal(State.SHUT), is(true));
    }

    @Test
    void shouldReportAllProblemsOfAChart() {
        IllegalStateException refused =
                assertThrows(
                        IllegalStateException.class,
                        () -> StateChart.load(BAD, State.class, Event.class));
        assertThat(refused.getMessage(), containsString("unknown name explode"));
        assertThat(refused.getMessage(), containsString("state SHUT is never reached"));
        assertThat(refused.getMessage(), containsString("no row for state SHUT"));
    }
}
