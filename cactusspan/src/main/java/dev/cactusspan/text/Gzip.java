package dev.cactusspan.text;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses and decompresses values that are sent between processes. */
public final class Gzip {
    private Gzip() {}

    /** Compresses at the lowest cost; bodies of items hardly shrink more at a higher one. */
    private static final class FastGzip extends GZIPOutputStream {
        FastGzip(ByteArrayOutputStream out) throws IOException {
            super(out);
            def.setLevel(Deflater.BEST_SPEED);
        }
    }

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return the compressed bytes
     */
    public static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new FastGzip(out)) {
            gzip.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Decompresses bytes.
     *
     * @param bytes the compressed bytes
     * @param maxBytes maximum size of the decompressed bytes
     * @return the bytes; {@code payload_too_large} if they are over the size, {@code bad_request}
     *     if they are not valid gzip data
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
