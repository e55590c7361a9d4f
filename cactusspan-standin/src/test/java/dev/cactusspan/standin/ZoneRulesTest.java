package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.ZoneTrial;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Regions that bind, evacuations and cold targets, with real processes. */
final class ZoneRulesTest {
    @TempDir private Path mFolder;

    @Test
    void shouldRunBoundRequestsOnlyInTheirRegion() throws IOException {
        ZoneTrial.Outcome outcome = ZoneTrial.bindToRegion(mFolder);
        assertThat(outcome.toString(), outcome.violations(), is(empty()));
        assertThat(outcome.toString(), outcome.forbidden(), is(0));
        assertThat(outcome.toString(), outcome.elsewhere(), is(greaterThan(0)));
        assertThat(outcome.toString(), outcome.status(), is(503));
        assertThat(
                outcome.toString(),
                outcome.counts().get("quotes_answered"),
                is(outcome.counts().get("quotes")));
        assertThat(
                outcome.toString(),
                outcome.counts().get("steps_on_time"),
                is(outcome.counts().get("steps")));
    }

    @Test
    void shouldSendNothingToAnEvacuatedZone() throws IOException {
        ZoneTrial.Outcome outcome = ZoneTrial.evacuate(mFolder);
        assertThat(outcome.toString(), outcome.violations(), is(empty()));
        assertThat(outcome.toString(), outcome.forbidden(), is(0));
        assertThat(outcome.toString(), outcome.elsewhere(), is(greaterThan(0)));
        assertThat(outcome.toString(), outcome.afterwards(), is(greaterThan(0)));
    }

    @Test
    void shouldNotOverrunATargetThatReturnsCold() throws IOException {
        ZoneTrial.Outcome outcome = ZoneTrial.returnCold(mFolder);
        assertThat(outcome.toString(), outcome.violations(), is(empty()));
        assertThat(outcome.toString(), outcome.elsewhere(), is(greaterThan(0)));
        assertThat(outcome.toString(), outcome.afterwards(), is(greaterThan(0)));
    }
}
