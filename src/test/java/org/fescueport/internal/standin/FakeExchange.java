package org.fescueport.internal.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.ResponseStream;

/** An exchange without a network that keeps the answer for the test. */
public final class FakeExchange implements HttpExchange, ResponseStream {
    private final String mMethod;
    private final String mPath;
    private final Map<String, String> mQuery = new HashMap<>();
    private final Map<String, String> mHeaders = new HashMap<>();
    private final ByteArrayOutputStream mAnswer = new ByteArrayOutputStream();
    private byte[] mBody = new byte[0];
    private Runnable mOnAbort = () -> {};
    private Runnable mOnDrained = () -> {};
    private int mStatus;
    private int mWaitingBytes;
    private boolean mEnded;
    private boolean mCut;

    private FakeExchange(String method, String path) {
        mMethod = method;
        mPath = path;
    }

    public static FakeExchange of(String method, String path) {
        return new FakeExchange(method, path);
    }

    public FakeExchange body(String body) {
        mBody = body.getBytes(StandardCharsets.UTF_8);
        return this;
    }

    public FakeExchange body(byte[] body) {
        mBody = body;
        return this;
    }

    public FakeExchange withQuery(String name, String value) {
        mQuery.put(name, value);
        return this;
    }

    public FakeExchange withHeader(String name, String value) {
        mHeaders.put(name, value);
        return this;
    }

    /** Makes the reader so slow that this many bytes wait after each write. */
    public void setWaitingBytes(int bytes) {
        mWaitingBytes = bytes;
        if (bytes == 0) {
            mOnDrained.run();
        }
    }

    public void goAway() {
        mOnAbort.run();
    }

    public int status() {
        return mStatus;
    }

    public boolean isEnded() {
        return mEnded;
    }

    public boolean isCut() {
        return mCut;
    }

    public byte[] answerBytes() {
        return mAnswer.toByteArray();
    }

    public String answer() {
        return mAnswer.toString(StandardCharsets.UTF_8);
    }

    @Override
    public String method() {
        return mMethod;
    }

    @Override
    public String path() {
        return mPath;
    }

    @Override
    public String query(String name, String fallback) {
        return mQuery.getOrDefault(name, fallback);
    }

    @Override
    public String header(String name) {
        return mHeaders.getOrDefault(name, "");
    }

    @Override
    public byte[] body() {
        return mBody;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        mStatus = status;
        mAnswer.writeBytes(body);
        mEnded = true;
    }

    @Override
    public ResponseStream stream(int status, Map<String, String> headers) {
        mStatus = status;
        return this;
    }

    @Override
    public void onAbort(Runnable action) {
        mOnAbort = action;
    }

    @Override
    public int write(byte[] piece) {
        mAnswer.writeBytes(piece);
        return mWaitingBytes;
    }

    @Override
    public void onDrained(Runnable action) {
        mOnDrained = action;
    }

    @Override
    public void end() {
        mEnded = true;
    }

    @Override
    public void abort() {
        mCut = true;
    }
}
