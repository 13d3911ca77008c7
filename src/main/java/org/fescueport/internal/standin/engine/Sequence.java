package org.fescueport.internal.standin.engine;

import java.util.Arrays;
import java.util.List;

/** One generation in the engine; touched by the engine's thread only. */
final class Sequence {
    private final ChatRequest mRequest;
    private final List<String> mTokens;
    private final GenerationListener mListener;
    private final long mArrival;
    private int mCachedTokens;
    private int mPrefillLeft;
    private int mGenerated;
    private boolean mStalled;
    private boolean mEnded;

    private Sequence(
            ChatRequest request, List<String> tokens, GenerationListener listener, long arrival) {
        mRequest = request;
        mTokens = tokens;
        mListener = listener;
        mArrival = arrival;
    }

    static Sequence create(
            ChatRequest request, List<String> tokens, GenerationListener listener, long arrival) {
        return new Sequence(request, tokens, listener, arrival);
    }

    ChatRequest request() {
        return mRequest;
    }

    long arrival() {
        return mArrival;
    }

    /** Takes what the cache holds of the prompt, when the sequence joins the batch. */
    void begin(int cachedTokens) {
        mCachedTokens = Math.min(cachedTokens, mRequest.promptTokens().length - 1);
        mPrefillLeft = mRequest.promptTokens().length - mCachedTokens;
    }

    int prefillLeft() {
        return mPrefillLeft;
    }

    /** Returns whether the sequence can generate a token in the next step. */
    boolean canDecode() {
        return mPrefillLeft == 0 && !mStalled && !mEnded;
    }

    boolean ended() {
        return mEnded;
    }

    void cancel() {
        mEnded = true;
    }

    void resume() {
        mStalled = false;
    }

    /** Prefills prompt tokens and returns whether that was the last of the prompt. */
    boolean prefill(int tokens) {
        mPrefillLeft -= tokens;
        if (mPrefillLeft > 0) {
            return false;
        }
        mListener.onStarted(mRequest.promptTokens().length, mCachedTokens);
        return true;
    }

    /** Generates one token and returns whether the answer is whole. */
    boolean decode() {
        if (mGenerated < mTokens.size()) {
            mStalled = !mListener.onToken(mTokens.get(mGenerated));
            mGenerated++;
        }
        if (mGenerated < mTokens.size()) {
            return false;
        }
        mEnded = true;
        mListener.onCompleted(usage());
        return true;
    }

    void refuse() {
        mEnded = true;
        mListener.onRefused();
    }

    /** Returns hashes of the prompt's tokens and of those generated so far. */
    long[] contextTokens() {
        var prompt = mRequest.promptTokens();
        var delivered = mRequest.resumeText() + String.join("", mTokens.subList(0, mGenerated));
        var generated = ChatRequest.tokenHashes(delivered);
        var all = Arrays.copyOf(prompt, prompt.length + generated.length);
        System.arraycopy(generated, 0, all, prompt.length, generated.length);
        return all;
    }

    Usage usage() {
        return new Usage(mRequest.promptTokens().length, mCachedTokens, mGenerated);
    }
}
