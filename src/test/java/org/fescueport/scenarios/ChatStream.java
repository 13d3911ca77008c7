package org.fescueport.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A streamed answer as its caller sees it, which can be continued at another router. */
final class ChatStream {
    private static final String EVENT_ID = "id: ";
    private static final String DATA = "data: ";
    private static final long WAIT_SECONDS = 20;

    private final StringBuilder mText = new StringBuilder();
    private String mLastEventId = "";
    private String mNextEventId = "";
    private String mError = "";
    private JsonNode mUsage = Http.JSON.createObjectNode();
    private HttpResponse<Stream<String>> mHead;
    private boolean mEnded;
    private boolean mDone;

    /** Starts reading the answer to a request. */
    static ChatStream start(HttpRequest request) {
        var stream = new ChatStream();
        stream.read(request);
        return stream;
    }

    /** Goes on with this answer: what arrives is added to the text. */
    synchronized void continueWith(HttpRequest request) {
        mEnded = false;
        mError = "";
        read(request);
    }

    synchronized String text() {
        return mText.toString();
    }

    synchronized String lastEventId() {
        return mLastEventId;
    }

    /** Returns what went wrong; empty when nothing did. */
    synchronized String error() {
        return mError;
    }

    /** Returns whether the end of a whole answer was seen. */
    synchronized boolean isDone() {
        return mDone;
    }

    synchronized JsonNode usage() {
        return mUsage;
    }

    synchronized String header(String name) {
        return mHead.headers().firstValue(name).orElse("");
    }

    synchronized void awaitText(int characters) throws InterruptedException {
        await("text of " + characters, () -> mText.length() >= characters || mEnded);
    }

    synchronized void awaitEnd() throws InterruptedException {
        await("end of the answer", () -> mEnded);
    }

    private void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                throw new AssertionError("no " + what + "; so far: " + mText.length());
            }
            wait(left);
        }
    }

    private void read(HttpRequest request) {
        Thread.ofVirtual().start(() -> readAll(request));
    }

    private void readAll(HttpRequest request) {
        try {
            var response = Http.CLIENT.send(request, HttpResponse.BodyHandlers.ofLines());
            onHead(response);
            response.body().forEach(this::onLine);
            onEnd("");
        } catch (IOException | java.io.UncheckedIOException e) {
            onEnd("connection lost: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void onHead(HttpResponse<Stream<String>> head) {
        mHead = head;
        if (head.statusCode() != 200) {
            mError = "status " + head.statusCode();
        }
    }

    private synchronized void onLine(String line) {
        if (line.startsWith(EVENT_ID)) {
            mNextEventId = line.substring(EVENT_ID.length());
        } else if (line.equals(DATA + "[DONE]")) {
            mDone = true;
        } else if (line.startsWith(DATA)) {
            onData(Http.json(line.substring(DATA.length())));
        } else if (!mError.isEmpty()) {
            mError += " " + line;
        }
        notifyAll();
    }

    private void onData(JsonNode data) {
        if (data.has("error")) {
            mError = data.get("error").toString();
            return;
        }
        mLastEventId = mNextEventId;
        mText.append(data.at("/choices/0/delta/content").asText(""));
        if (data.has("usage")) {
            mUsage = data.get("usage");
        }
    }

    private synchronized void onEnd(String error) {
        mError += error;
        mEnded = true;
        notifyAll();
    }
}
