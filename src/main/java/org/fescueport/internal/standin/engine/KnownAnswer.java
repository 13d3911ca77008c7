package org.fescueport.internal.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer that a stand-in engine gives to a message: a pure function, so that whoever asked can
 * check every token.
 *
 * <pre>{@code
 * String expected = KnownAnswer.textFor("how full is Chixoy?", 40);
 * }</pre>
 */
public final class KnownAnswer {
    private static final int WORD_LETTERS = 5;
    private static final int LETTERS = 26;
    private static final long STEP = 0x9E3779B97F4A7C15L;

    private KnownAnswer() {}

    /** Returns the whole text of {@code maxTokens} tokens that answers this message. */
    public static String textFor(String lastUserMessage, int maxTokens) {
        return String.join("", tokensFor(lastUserMessage, maxTokens));
    }

    /** Returns the tokens of the answer; each is one word and the space after it. */
    public static List<String> tokensFor(String lastUserMessage, int maxTokens) {
        long seed = Hashing.xxh3_64().hashCharsToLong(lastUserMessage);
        var tokens = new ArrayList<String>(maxTokens);
        for (int i = 0; i < maxTokens; i++) {
            tokens.add(word(mix(seed + STEP * (i + 1))));
        }
        return tokens;
    }

    private static String word(long bits) {
        var word = new StringBuilder(WORD_LETTERS + 1);
        long rest = bits >>> 1;
        for (int i = 0; i < WORD_LETTERS; i++) {
            word.append((char) ('a' + rest % LETTERS));
            rest /= LETTERS;
        }
        return word.append(' ').toString();
    }

    /** Spreads the bits of {@code value} (finalizer of SplitMix64). */
    private static long mix(long value) {
        long bits = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
        return bits ^ (bits >>> 31);
    }
}
