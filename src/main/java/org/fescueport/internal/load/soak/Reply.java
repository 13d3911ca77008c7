package org.fescueport.internal.load.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueport.internal.http.HttpCallException;
import org.fescueport.internal.http.HttpCaller;

/** What one HTTP call brought: status, headers, and the body or the text of its events. */
final class Reply implements HttpCaller.StreamListener {
    /** How a call ended. */
    enum End {
        /** The body ended as HTTP has it. */
        ENDED,
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The connection was lost. */
        LOST
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String ID = "id: ";
    private static final String RESUME = ": resume ";

    private final int mWatchedChars;
    private final CompletableFuture<Void> mReached = new CompletableFuture<>();
    private final CompletableFuture<End> mEnd = new CompletableFuture<>();
    private final Map<String, String> mHeaders = new ConcurrentHashMap<>();
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final StringBuilder mText = new StringBuilder();
    private String mNextId = "";
    private String mLastId = "";
    private String mResumeToken = "";
    private String mError = "";
    private boolean mDone;
    private volatile int mStatus;

    private Reply(int watchedChars) {
        mWatchedChars = watchedChars;
    }

    /** Returns a reply that tells by {@link #reached} when it has text of this length. */
    static Reply watching(int chars) {
        return new Reply(chars);
    }

    /** Completes when the text is as long as watched for, or the call has ended. */
    CompletableFuture<Void> reached() {
        return mReached;
    }

    CompletableFuture<End> end() {
        return mEnd;
    }

    int status() {
        return mStatus;
    }

    String header(String name) {
        return mHeaders.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    synchronized String text() {
        return mText.toString();
    }

    /** Returns the id of the last event that was read whole. */
    synchronized String lastId() {
        return mLastId;
    }

    /** Returns the newest token by which the answer goes on elsewhere; empty when none came. */
    synchronized String resumeToken() {
        return mResumeToken.isEmpty() ? header("Fescue-Resume-Token") : mResumeToken;
    }

    /** Returns the type of the error that an event told; empty when none did. */
    synchronized String error() {
        return mError;
    }

    /** Returns whether the events told the end of a whole answer. */
    synchronized boolean isDone() {
        return mDone;
    }

    JsonNode json() {
        return parse(mBody.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onHeader(String name, String value) {
        mHeaders.put(name.toLowerCase(Locale.ROOT), value);
    }

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
    }

    @Override
    public synchronized void onData(ByteBuffer data) {
        while (data.hasRemaining()) {
            byte next = data.get();
            mBody.write(next);
            if (next != '\n') {
                mLine.write(next);
                continue;
            }
            takeLine(mLine.toString(StandardCharsets.UTF_8).strip());
            mLine.reset();
        }
        if (mText.length() >= mWatchedChars) {
            mReached.complete(null);
        }
    }

    @Override
    public void onEnd() {
        finish(End.ENDED);
    }

    @Override
    public void onFailed(HttpCallException failure) {
        finish(failure.maybeSent() ? End.LOST : End.NOT_SENT);
    }

    private void finish(End end) {
        mEnd.complete(end);
        mReached.complete(null);
    }

    private void takeLine(String line) {
        if (line.startsWith(ID)) {
            mNextId = line.substring(ID.length());
        } else if (line.startsWith(RESUME)) {
            mResumeToken = line.substring(RESUME.length());
        } else if (line.equals(DATA + "[DONE]")) {
            mDone = true;
        } else if (line.startsWith(DATA)) {
            takeEvent(parse(line.substring(DATA.length())));
        }
    }

    private void takeEvent(JsonNode event) {
        if (event.has("error")) {
            mError = event.path("error").path("type").asText("error");
            return;
        }
        mLastId = mNextId;
        mText.append(event.at("/choices/0/delta/content").asText(""));
    }

    private static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }
}
