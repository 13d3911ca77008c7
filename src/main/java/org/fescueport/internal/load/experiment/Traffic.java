package org.fescueport.internal.load.experiment;

import java.util.Random;

/** Chats that begin at a steady rate and return after pauses, drawn from a seed. */
final class Traffic {
    /**
     * What callers do.
     *
     * @param ratePerSecond requests a second of all chats together, once steady
     * @param returnShare probability that a chat returns after an answer
     * @param gapMedianNanos median of the pause before it returns
     * @param gapSigma spread of the pause's logarithm
     */
    record Settings(
            double ratePerSecond,
            double returnShare,
            long gapMedianNanos,
            double gapSigma,
            long deadlineNanos) {}

    private static final int MEAN_DECODE_TOKENS = 225;
    private static final int MAX_DECODE_TOKENS = 900;
    private static final int LEAST_PROMPT_TOKENS = 400;
    private static final int PROMPT_SPREAD_TOKENS = 3_000;
    private static final int TURN_TOKENS = 60;
    private static final int MAX_PROMPT_TOKENS = 12_000;

    private final Settings mSettings;
    private final Teams mTeams;
    private final VirtualTime mTime;
    private final Fleet mFleet;
    private final Random mRandom;
    private int mNextChat;
    private long mNextJob;

    Traffic(Settings settings, Teams teams, VirtualTime time, Fleet fleet, Tally tally, long seed) {
        mSettings = settings;
        mTeams = teams;
        mTime = time;
        mFleet = fleet;
        mRandom = new Random(seed);
        tally.setNext(this::onEnd);
    }

    /** Begins new chats from now on, as many as keep the rate with those that return. */
    void start() {
        double newPerSecond = mSettings.ratePerSecond() * (1 - mSettings.returnShare());
        beginChats(newPerSecond, () -> mNextChat++, Long.MAX_VALUE);
    }

    /** Adds chats of one team at this rate until a time; they do not return. */
    void surge(int team, double perSecond, long untilNanos) {
        beginChats(
                perSecond,
                () -> {
                    do {
                        mNextChat++;
                    } while (mTeams.ofChat(mNextChat) != team);
                    return mNextChat;
                },
                untilNanos);
    }

    int chats() {
        return mNextChat;
    }

    private void beginChats(
            double perSecond, java.util.function.IntSupplier chats, long untilNanos) {
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * VirtualTime.SECOND);
        if (mTime.now() + gap > untilNanos) {
            return;
        }
        mTime.after(
                gap,
                () -> {
                    int prompt = LEAST_PROMPT_TOKENS + mRandom.nextInt(PROMPT_SPREAD_TOKENS);
                    submit(chats.getAsInt(), prompt, Job.NONE, false);
                    beginChats(perSecond, chats, untilNanos);
                });
    }

    private void submit(int chat, int prompt, int ticket, boolean returning) {
        double decode = -Math.log(1 - mRandom.nextDouble()) * MEAN_DECODE_TOKENS;
        var job =
                new Job(
                        mNextJob++,
                        mTeams.ofChat(chat),
                        chat,
                        mRandom.nextInt(mFleet.settings().routers()),
                        prompt,
                        (int) Math.clamp(decode, 20, MAX_DECODE_TOKENS),
                        mTime.now(),
                        mTime.now() + mSettings.deadlineNanos());
        job.mTicket = ticket;
        job.mReturning = returning;
        mFleet.submit(job);
    }

    private void onEnd(Job job, FakeReplica replica) {
        if (mRandom.nextDouble() >= mSettings.returnShare()) {
            return;
        }
        double gap =
                mSettings.gapMedianNanos()
                        * Math.exp(mSettings.gapSigma() * mRandom.nextGaussian());
        int ticket = replica == null ? job.mTicket : replica.mNumber;
        int next = job.mPromptTokens + (replica == null ? 0 : job.mDecodeTokens + TURN_TOKENS);
        int prompt = Math.min(next, MAX_PROMPT_TOKENS);
        // The pause is long, and the job is to be forgotten in it.
        int chat = job.mChat;
        mTime.after((long) gap, () -> submit(chat, prompt, ticket, true));
    }
}
