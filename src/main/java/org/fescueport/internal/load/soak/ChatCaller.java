package org.fescueport.internal.load.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.standin.engine.KnownAnswer;

/**
 * A caller that chats, comes back, and checks each answer token by token. It goes on at another
 * router when its connection is lost, as {@code docs/CALLERS.md} says.
 */
final class ChatCaller implements Runnable {
    /** How a caller treats one answer. */
    private enum Manner {
        PLAIN,
        /** Reads nothing for a while. */
        SLOW,
        /** Goes away in the middle and never comes back. */
        VANISHING,
        /** Loses its own connection in the middle and goes on at another router. */
        DROPPING
    }

    private static final String PATH = "/v1/chat/completions";
    private static final int CHARS_PER_TOKEN = 6;
    private static final int MOST_TURNS = 4;
    private static final int MOST_TRIES = 40;
    private static final long RETRY_MILLIS = 250;
    private static final long SLOW_MILLIS = 600;
    private static final long GIVE_UP_SECONDS = 60;

    private final SoakWorld mWorld;
    private final SplittableRandom mRandom;
    private final String mName;
    private final Map<String, String> mCredentials;
    private final String mModel;
    private int mChats;
    private int mTurn;
    private String mTicket = "";
    private String mHistory = "";

    ChatCaller(SoakWorld world, long seed, String name, String apiKey, String model) {
        mWorld = world;
        mRandom = new SplittableRandom(seed);
        mName = name;
        mCredentials = Map.of("Authorization", "Bearer " + apiKey);
        mModel = model;
    }

    @Override
    public void run() {
        try {
            while (!mWorld.isStopped()) {
                ask();
                mWorld.pause(mRandom.nextInt(50, 400));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask() throws InterruptedException {
        var question = "How full is basin " + mName + " " + mChats + " " + mTurn + "? ".repeat(8);
        int tokens = mRandom.nextInt(20, 160);
        var manner = pickManner();
        var expected = KnownAnswer.textFor(question, tokens);
        var wanted = new Wanted(question, tokens, expected, manner);
        boolean isWhole = untilWhole(wanted);
        if (isWhole && mTurn < MOST_TURNS) {
            mTurn++;
            mHistory += message("user", question) + "," + message("assistant", expected) + ",";
        } else {
            mChats++;
            mTurn = 0;
            mTicket = "";
            mHistory = "";
        }
    }

    private record Wanted(String question, int tokens, String expected, Manner manner) {}

    private Manner pickManner() {
        int percent = mRandom.nextInt(100);
        if (percent < 8) {
            return Manner.SLOW;
        }
        if (percent < 13) {
            return Manner.VANISHING;
        }
        return percent < 20 ? Manner.DROPPING : Manner.PLAIN;
    }

    /** Sends the question until its whole answer is here. */
    private boolean untilWhole(Wanted wanted) throws InterruptedException {
        long end = mWorld.clock().monotonicTime() + TimeUnit.SECONDS.toNanos(GIVE_UP_SECONDS);
        var router = mWorld.balancer().pickBut("");
        for (int i = 0; i < MOST_TRIES && mWorld.clock().monotonicTime() < end; i++) {
            var progress = tryOnce(wanted, router, i == 0);
            if (progress != Progress.AGAIN) {
                return progress == Progress.WHOLE;
            }
            mWorld.pause(RETRY_MILLIS);
            router = mWorld.balancer().pickBut(router);
        }
        mWorld.trouble("chat unserved", who());
        return false;
    }

    private enum Progress {
        WHOLE,
        AGAIN,
        OVER
    }

    private Progress tryOnce(Wanted wanted, String router, boolean isFirst)
            throws InterruptedException {
        var manner = isFirst ? wanted.manner() : Manner.PLAIN;
        int watched = wanted.expected().length() / 3;
        var sent = mWorld.send("POST", router, PATH, headers(), body(wanted), watched);
        behave(manner, sent);
        if (manner == Manner.VANISHING) {
            mWorld.tally().count("chat left by its caller");
            return Progress.OVER;
        }
        if (manner == Manner.DROPPING) {
            return goOn(wanted, sent, "dropped");
        }
        var end = mWorld.await(sent);
        return switch (end) {
            case NOT_SENT -> Progress.AGAIN;
            case LOST -> goOn(wanted, sent, "lost");
            case ENDED -> read(wanted, sent.reply(), sent.reply().text(), "");
        };
    }

    private void behave(Manner manner, SoakWorld.Sent sent) throws InterruptedException {
        if (manner == Manner.PLAIN) {
            return;
        }
        sent.reply().reached().join();
        if (manner != Manner.SLOW) {
            sent.call().cancel();
            return;
        }
        sent.call().setReading(false);
        mWorld.pause(SLOW_MILLIS);
        sent.call().setReading(true);
    }

    /** Goes on with a broken answer at another router; asks anew where that fails. */
    private Progress goOn(Wanted wanted, SoakWorld.Sent broken, String why)
            throws InterruptedException {
        var reply = broken.reply();
        var token = reply.resumeToken();
        if (token.isEmpty() || reply.isDone()) {
            return reply.isDone() ? read(wanted, reply, reply.text(), "") : Progress.AGAIN;
        }
        var headers = new HashMap<>(mCredentials);
        headers.put("Last-Event-ID", reply.lastId());
        headers.put("Fescue-Resume-Token", token);
        var path = "/v1/answers/" + reply.header("Fescue-Request");
        var router = mWorld.balancer().pickBut(broken.router());
        var rest = mWorld.send("GET", router, path, headers, "");
        return switch (mWorld.await(rest)) {
            case NOT_SENT, LOST -> Progress.AGAIN;
            case ENDED ->
                    read(
                            wanted,
                            rest.reply(),
                            reply.text() + rest.reply().text(),
                            why + " and resumed: ");
        };
    }

    private Progress read(Wanted wanted, Reply reply, String text, String prefix) {
        var tally = mWorld.tally();
        if (!wanted.expected().startsWith(text)) {
            tally.wrong(prefix + wanted.question().strip() + " got " + text);
            return Progress.OVER;
        }
        if (reply.status() != 200) {
            var type = reply.json().at("/error/type").asText("status " + reply.status());
            mWorld.trouble(prefix + "chat " + reply.header("Fescue-Outcome") + " " + type, who());
            return Progress.AGAIN;
        }
        if (!reply.error().isEmpty()) {
            mWorld.trouble(prefix + "chat broken off " + reply.error(), who());
            return Progress.AGAIN;
        }
        if (!reply.isDone() || !text.equals(wanted.expected())) {
            var ended = reply.isDone() ? " was told to be whole" : " ended without a word";
            tally.cut(prefix + text.length() / CHARS_PER_TOKEN + " of " + wanted.tokens() + ended);
            return Progress.AGAIN;
        }
        tally.count(prefix + "chat whole");
        if (!reply.header("Fescue-Ticket").isEmpty()) {
            mTicket = reply.header("Fescue-Ticket");
        }
        return Progress.WHOLE;
    }

    private String who() {
        return mName + " chat " + mChats + " turn " + mTurn;
    }

    private Map<String, String> headers() {
        var headers = new HashMap<>(mCredentials);
        headers.put("Content-Type", "application/json");
        headers.put("Fescue-Chat", mName + "-" + mChats);
        if (!mTicket.isEmpty()) {
            headers.put("Fescue-Ticket", mTicket);
        }
        return headers;
    }

    private String body(Wanted wanted) {
        return "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":[%s%s]}"
                .formatted(mModel, wanted.tokens(), mHistory, message("user", wanted.question()));
    }

    private static String message(String role, String content) {
        return "{\"role\":\"" + role + "\",\"content\":\"" + content + "\"}";
    }
}
