package dev.cactusspan.text;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses values that travel between processes. */
public final class Gzip {
    private Gzip() {}

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return the compressed bytes
     */
    public static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Expands bytes.
     *
     * @param bytes the compressed bytes
     * @param maxBytes size at most
     * @return the bytes, or why they cannot be expanded
     */
    public static Result<byte[]> decompress(byte[] bytes, int maxBytes) {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            byte[] expanded = gzip.readNBytes(maxBytes + 1);
            return expanded.length > maxBytes
                    ? Result.fail(ErrorKind.PAYLOAD_TOO_LARGE, "over " + maxBytes + " bytes")
                    : Result.of(expanded);
        } catch (IOException e) {
            return Result.fail(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }
}
