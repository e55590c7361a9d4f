package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class DoorCheckTest {
    @Test
    void shouldAskInOrderAndStopAtTheFirstRefusal() {
        List<String> asked = new ArrayList<>();
        Failure failure = Failure.of(ErrorKind.OVERLOADED, "full");
        DoorCheck check =
                DoorCheck.all(
                        List.of(
                                arrival -> answer(asked, "first", Optional.empty()),
                                arrival -> answer(asked, "second", Optional.of(failure)),
                                arrival -> answer(asked, "third", Optional.empty())));
        assertThat(check.refuse(new DoorCheck.Arrival(true, 0)), is(Optional.of(failure)));
        assertThat(asked, is(List.of("first", "second")));
    }

    private static Optional<Failure> answer(
            List<String> asked, String name, Optional<Failure> failure) {
        asked.add(name);
        return failure;
    }
}
