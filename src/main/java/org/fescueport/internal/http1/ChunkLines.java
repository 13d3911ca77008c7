package org.fescueport.internal.http1;

/** Checks the lines of a chunked body one after the other: sizes, the ends of data, trailers. */
public final class ChunkLines {
    private static final int RADIX = 16;

    /** Larger chunks are refused, as no decoder reads them. */
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private enum Next {
        SIZE,
        END_OF_DATA,
        TRAILER,
        NOTHING
    }

    private Next mNext = Next.SIZE;

    private ChunkLines() {}

    /** Returns an object that expects the size of the first chunk. */
    public static ChunkLines create() {
        return new ChunkLines();
    }

    /**
     * Checks the next line.
     *
     * @param line without its end
     * @return the bytes of data between this line and the next one
     */
    public int accept(CharSequence line) throws MalformedResponseException {
        switch (mNext) {
            case SIZE -> {
                int size = size(line);
                mNext = size == 0 ? Next.TRAILER : Next.END_OF_DATA;
                return size;
            }
            case END_OF_DATA -> {
                if (!line.isEmpty()) {
                    throw MalformedResponseException.of("data that is longer than its chunk");
                }
                mNext = Next.SIZE;
            }
            case TRAILER -> {
                if (line.isEmpty()) {
                    mNext = Next.NOTHING;
                } else {
                    FieldLine.check(line);
                }
            }
            case NOTHING -> throw new IllegalStateException("The body has ended.");
            default -> throw new IllegalStateException("next " + mNext);
        }
        return 0;
    }

    /** Returns whether the empty line has come that ends the body. */
    public boolean isComplete() {
        return mNext == Next.NOTHING;
    }

    private static int size(CharSequence line) throws MalformedResponseException {
        int end = 0;
        long size = 0;
        while (end < line.length() && hexDigit(line.charAt(end)) >= 0) {
            size = RADIX * size + hexDigit(line.charAt(end));
            if (size > MAX_CHUNK_BYTES) {
                throw MalformedResponseException.of("a chunk of more than 2 GiB");
            }
            end++;
        }
        if (end == 0 || !isExtension(line, end)) {
            throw MalformedResponseException.of("a chunk whose size is no hexadecimal number");
        }
        return (int) size;
    }

    /** Returns whether the line ends here, or goes on with extensions, whose text may be any. */
    private static boolean isExtension(CharSequence line, int from) {
        if (from == line.length()) {
            return true;
        }
        int start = from;
        while (start < line.length() && Characters.isBlank(line.charAt(start))) {
            start++;
        }
        return start < line.length() && line.charAt(start) == ';' && Characters.isText(line, start);
    }

    private static int hexDigit(char c) {
        return c < 0x80 ? Character.digit(c, RADIX) : -1;
    }
}
