package org.fescueport.internal.port;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.fescueport.internal.http.HttpCallException;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.Engine;
import org.fescueport.port.PlatformException;

/** Turns the HTTP answer of an engine into the events of {@link Engine.Listener}. */
final class GenerationReader implements HttpCaller.StreamListener, Engine.Handle {
    private static final int MAX_DETAIL_BYTES = 1000;
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private final Engine.Listener mListener;
    private final EventStreamParser mParser = EventStreamParser.of(this::takeData);
    private final StringBuilder mDetail = new StringBuilder();
    private volatile HttpCaller.Call mCall;
    private CompletionChunk.Usage mUsage = new CompletionChunk.Usage(0, 0, 0);
    private String mFinishReason = "";
    private int mStatus;
    private int mTokens;
    private boolean mStarted;
    private volatile boolean mDone;

    private GenerationReader(Engine.Listener listener) {
        mListener = listener;
    }

    static GenerationReader start(
            HttpCaller caller, HttpCaller.Request request, Engine.Listener listener) {
        GenerationReader reader = new GenerationReader(listener);
        reader.mCall = caller.stream(request, reader);
        return reader;
    }

    @Override
    public void cancel() {
        mDone = true;
        mCall.cancel();
    }

    @Override
    public void setReading(boolean reading) {
        mCall.setReading(reading);
    }

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
    }

    @Override
    public void onData(ByteBuffer data) {
        if (mDone) {
            return;
        }
        if (mStatus != 200) {
            keepDetail(data);
            return;
        }
        try {
            mParser.take(data);
        } catch (IllegalStateException e) {
            fail("The engine's stream cannot be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void onEnd() {
        if (mDone) {
            return;
        }
        if (mStatus == 200) {
            fail("The engine's stream ended before [DONE].", null);
        } else if (isRefusal(mStatus)) {
            mDone = true;
            mListener.onRefused(mStatus, mDetail.toString());
        } else {
            fail("The engine answered with status " + mStatus + ": " + mDetail, null);
        }
    }

    @Override
    public void onFailed(HttpCallException failure) {
        if (!mDone) {
            mDone = true;
            mListener.onFailed(PlatformHttp.translate(failure));
        }
    }

    /** A server error may come after the work began; a refusal comes before it. */
    private static boolean isRefusal(int status) {
        return status >= 400 && status < 500 || status == 503;
    }

    private void takeData(byte[] bytes, int offset, int length) {
        if (mDone) {
            return;
        }
        if (Arrays.equals(bytes, offset, offset + length, DONE, 0, DONE.length)) {
            complete();
            return;
        }
        try {
            takeChunk(CompletionChunk.parse(bytes, offset, length));
        } catch (IOException e) {
            fail("The engine sent a chunk that is not JSON: " + e.getMessage(), e);
        }
    }

    private void takeChunk(CompletionChunk chunk) {
        if (!chunk.error().isEmpty()) {
            fail("The engine gave up: " + chunk.error(), null);
            return;
        }
        if (chunk.usage() != null) {
            mUsage = chunk.usage();
        }
        if (!mStarted) {
            mStarted = true;
            mListener.onStarted(mUsage.promptTokens(), mUsage.cachedTokens());
        }
        if (!chunk.finishReason().isEmpty()) {
            mFinishReason = chunk.finishReason();
        }
        if (!chunk.text().isEmpty()) {
            mTokens++;
            mListener.onText(chunk.text(), 1);
        }
    }

    private void complete() {
        mDone = true;
        int tokens = Math.max(mTokens, mUsage.completionTokens());
        mListener.onCompleted(mFinishReason, mUsage.promptTokens(), mUsage.cachedTokens(), tokens);
    }

    private void fail(String what, Throwable cause) {
        mDone = true;
        HttpCaller.Call call = mCall;
        if (call != null) {
            call.cancel();
        }
        mListener.onFailed(PlatformException.cannotBeKnown(what, cause));
    }

    private void keepDetail(ByteBuffer data) {
        int length = Math.min(data.remaining(), MAX_DETAIL_BYTES - mDetail.length());
        byte[] bytes = new byte[Math.max(0, length)];
        data.get(bytes);
        mDetail.append(new String(bytes, StandardCharsets.UTF_8));
    }
}
