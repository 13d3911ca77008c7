package org.fescueport.internal.standin.engine;

import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.standin.Json;

/** Sends a generation as one JSON object. */
final class WholeAnswer implements GenerationListener {
    private final HttpExchange mExchange;
    private final AnswerHead mHead;
    private final StringBuilder mText = new StringBuilder();

    private WholeAnswer(HttpExchange exchange, AnswerHead head) {
        mExchange = exchange;
        mHead = head;
    }

    static WholeAnswer create(HttpExchange exchange, AnswerHead head) {
        return new WholeAnswer(exchange, head);
    }

    @Override
    public void onStarted(int promptTokens, int cachedTokens) {
        mText.setLength(0);
    }

    @Override
    public boolean onToken(String text) {
        mText.append(text);
        return true;
    }

    @Override
    public void onCompleted(Usage usage) {
        Json.respond(mExchange, 200, mHead.whole(mText.toString(), "length", usage));
    }

    @Override
    public void onRefused() {
        Json.respondError(mExchange, 503, "overloaded", "too many requests wait; nothing was run");
    }
}
