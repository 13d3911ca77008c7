package org.fescueport.internal.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.Clock;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.fescueport.internal.http.HttpCallException;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.load.LoadRecorder.Ending;
import org.fescueport.internal.port.CompletionChunk;
import org.fescueport.internal.port.EventStreamParser;

/** Reads the answer to one question of a chat, times it and checks it. */
final class ChatCall implements HttpCaller.StreamListener {
    /**
     * How a call ended.
     *
     * @param nanos time from when the request was due
     */
    record Result(Ending ending, long nanos, String ticket) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DONE = "[DONE]";
    private static final String TICKET = "Fescue-Ticket";

    private final LoadRecorder mRecorder;
    private final Clock mClock;
    private final long mDueNanos;
    private final String mExpected;
    private final Consumer<Result> mOnResult;
    private final StringBuilder mText = new StringBuilder();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final EventStreamParser mParser = EventStreamParser.of(this::takeData);
    private CompletionChunk.Usage mUsage;
    private int mStatus;
    private boolean mStreaming;
    private boolean mComplete;
    private boolean mBroken;
    private long mLastTokenNanos;
    private String mTicket = "";

    ChatCall(
            LoadRecorder recorder,
            Clock clock,
            long dueNanos,
            String expected,
            Consumer<Result> onResult) {
        mRecorder = recorder;
        mClock = clock;
        mDueNanos = dueNanos;
        mExpected = expected;
        mOnResult = onResult;
    }

    @Override
    public void onHeader(String name, String value) {
        if (name.equalsIgnoreCase(TICKET)) {
            mTicket = value;
        }
    }

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
        mStreaming = status == 200 && contentType.startsWith("text/event-stream");
    }

    @Override
    public void onData(ByteBuffer data) {
        if (mStreaming) {
            mParser.take(data);
            return;
        }
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        mBody.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        if (mStatus != 200) {
            end(Ending.REFUSED, mStatus + " " + errorType());
            return;
        }
        if (!mStreaming) {
            readWhole();
        }
        boolean isRight = mExpected.contentEquals(mText);
        if (mBroken || !mComplete) {
            end(Ending.CUT, "200");
        } else {
            end(isRight ? Ending.WHOLE : Ending.WRONG, "200");
        }
    }

    @Override
    public void onFailed(HttpCallException failure) {
        String sent = (failure.maybeSent() ? "no answer " : "not sent ") + nameOf(failure);
        end(mStatus == 0 ? Ending.FAILED : Ending.CUT, mStatus == 0 ? sent : mStatus + " cut");
    }

    private static String nameOf(HttpCallException failure) {
        Throwable cause = failure.getCause();
        return cause == null ? "" : cause.getClass().getSimpleName();
    }

    private void takeData(byte[] bytes, int offset, int length) {
        if (length == DONE.length() && bytes[offset] == '[') {
            mComplete = true;
            return;
        }
        try {
            CompletionChunk chunk = CompletionChunk.parse(bytes, offset, length);
            mBroken |= !chunk.error().isEmpty();
            if (chunk.usage() != null) {
                mUsage = chunk.usage();
            }
            if (!chunk.text().isEmpty()) {
                takeToken(chunk.text());
            }
        } catch (IOException e) {
            mBroken = true;
        }
    }

    private void takeToken(String text) {
        long now = mClock.monotonicTime();
        if (mText.isEmpty()) {
            mRecorder.firstToken(now - mDueNanos);
        } else {
            mRecorder.betweenTokens(now - mLastTokenNanos);
        }
        mLastTokenNanos = now;
        mText.append(text);
    }

    private void readWhole() {
        try {
            JsonNode root = JSON.readTree(mBody.toByteArray());
            JsonNode choice = root.path("choices").path(0);
            mText.append(choice.path("message").path("content").asText());
            JsonNode usage = root.path("usage");
            mUsage =
                    new CompletionChunk.Usage(
                            usage.path("prompt_tokens").asInt(),
                            usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
                            usage.path("completion_tokens").asInt());
            mComplete = true;
        } catch (IOException e) {
            mBroken = true;
        }
    }

    private String errorType() {
        try {
            return JSON.readTree(mBody.toByteArray()).path("error").path("type").asText("");
        } catch (IOException e) {
            return "";
        }
    }

    private void end(Ending ending, String status) {
        long nanos = mClock.monotonicTime() - mDueNanos;
        mRecorder.ended(ending, status, nanos);
        if (ending == Ending.WHOLE && mUsage != null) {
            mRecorder.tokens(
                    mUsage.promptTokens(), mUsage.cachedTokens(), mUsage.completionTokens());
        }
        mOnResult.accept(new Result(ending, nanos, mTicket));
    }
}
