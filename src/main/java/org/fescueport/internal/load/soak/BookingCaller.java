package org.fescueport.internal.load.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import org.fescueport.internal.standin.service.ServiceHandler;

/** A caller that books what may run at most once, often sending the same key again. */
final class BookingCaller implements Runnable {
    private static final String OPERATION = "reserve";
    private static final String NOT_RUN = "not_run";
    private static final int OWNER_BOUND_PERCENT = 30;
    private static final int AGAIN_PERCENT = 50;
    private static final int AT_ONCE_PERCENT = 25;
    private static final int MOST_SENDINGS = 4;

    private final SoakWorld mWorld;
    private final SplittableRandom mRandom;
    private final String mName;
    private final String mApiKey;
    private final String mPath;
    private int mBookings;

    BookingCaller(SoakWorld world, long seed, String name, String apiKey, String service) {
        mWorld = world;
        mRandom = new SplittableRandom(seed);
        mName = name;
        mApiKey = apiKey;
        mPath = "/v1/services/" + service + "/" + OPERATION;
    }

    @Override
    public void run() {
        try {
            while (!mWorld.isStopped()) {
                book();
                mWorld.pause(mRandom.nextInt(50, 400));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void book() throws InterruptedException {
        var key = mRandom.nextInt(100) < OWNER_BOUND_PERCENT ? ownerBoundKey() : newKey();
        if (key.isEmpty()) {
            return;
        }
        mBookings++;
        var body = "{\"slot\":\"" + mName + " " + mBookings + "\"}";
        boolean mayHaveRun = false;
        var router = "";
        for (int i = 0; i < MOST_SENDINGS; i++) {
            router = mWorld.balancer().pickBut(router);
            for (var sent : sendings(router, key, body)) {
                mayHaveRun |= !isNotRun(sent, key, body);
            }
            if (mRandom.nextInt(100) >= AGAIN_PERCENT) {
                break;
            }
            mWorld.pause(mRandom.nextInt(0, 1500));
        }
        if (!mayHaveRun) {
            mWorld.tally().neverRun(key);
        }
    }

    /** Sends the booking, at times to two routers at once. */
    private List<SoakWorld.Sent> sendings(String router, String key, String body) {
        var sent = new ArrayList<SoakWorld.Sent>();
        sent.add(mWorld.send("POST", router, mPath, headers(key), body));
        if (mRandom.nextInt(100) < AT_ONCE_PERCENT) {
            var other = mWorld.balancer().pickBut(router);
            sent.add(mWorld.send("POST", other, mPath, headers(key), body));
        }
        return sent;
    }

    /** Reads one answer; returns whether it is certain that this sending was not run. */
    private boolean isNotRun(SoakWorld.Sent sent, String key, String body) {
        var kind = key.length() > UUID.randomUUID().toString().length() ? "owned " : "";
        var end = mWorld.await(sent);
        if (end != Reply.End.ENDED) {
            mWorld.tally().count(kind + "booking " + (end == Reply.End.LOST ? "lost" : "not sent"));
            return end == Reply.End.NOT_SENT;
        }
        var reply = sent.reply();
        var outcome = reply.header("Fescue-Outcome");
        if (reply.status() == 200) {
            check(reply, body);
            mWorld.tally().count(kind + "booking completed");
            return false;
        }
        var type = reply.json().at("/error/type").asText("");
        mWorld.tally().count(kind + "booking " + reply.status() + " " + outcome + " " + type);
        return outcome.equals(NOT_RUN);
    }

    private void check(Reply reply, String body) {
        var expected = ServiceHandler.answerFor(OPERATION, body.getBytes(StandardCharsets.UTF_8));
        var confirmation = reply.json().path("confirmation").asText();
        if (!confirmation.equals(expected)) {
            mWorld.tally().wrong("booking " + body + " got " + confirmation);
        }
    }

    private String ownerBoundKey() {
        var router = mWorld.balancer().pickBut("");
        var sent = mWorld.send("POST", router, mPath + "/keys", headers(""), "");
        if (mWorld.await(sent) != Reply.End.ENDED || sent.reply().status() != 201) {
            mWorld.trouble("key not issued " + sent.reply().status(), mName);
            return "";
        }
        return sent.reply().json().path("idempotencyKey").asText();
    }

    private Map<String, String> headers(String key) {
        var headers = new HashMap<String, String>();
        headers.put("Authorization", "Bearer " + mApiKey);
        headers.put("Content-Type", "application/json");
        if (!key.isEmpty()) {
            headers.put("Idempotency-Key", key);
        }
        return headers;
    }

    /** Returns a UUIDv7 (RFC 9562) of now. */
    private String newKey() {
        long high = mWorld.clock().wallTime() << 16 | 0x7000 | mRandom.nextInt(0x1000);
        long low = Long.MIN_VALUE | mRandom.nextLong() >>> 2;
        return new UUID(high, low).toString();
    }
}
