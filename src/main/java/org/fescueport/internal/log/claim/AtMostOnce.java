package org.fescueport.internal.log.claim;

import io.micrometer.core.instrument.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimNonce;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimRecord.Claim;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ClaimVerdict;
import org.fescueport.internal.decision.claim.IdempotencyKey;
import org.fescueport.internal.decision.claim.StoredAnswer;

/**
 * Runs each caller-chosen idempotency key at most once in the fleet; the agent's side.
 *
 * <p>A claim that was given up here is never run by this agent, whatever becomes of its record in
 * the log, so a refusal is true at once. The log is then told in the background that the claim was
 * given back, so that a later try can win.
 *
 * <pre>{@code
 * once.begin(request).thenAccept(verdict -> {
 *     if (verdict instanceof KeyVerdict.RunNow run && once.started(run.ticket())) {
 *         once.finished(run.ticket(), call(service));
 *     }
 * });
 * }</pre>
 */
public final class AtMostOnce {
    private static final int MAX_OPEN_CLAIMS = 10_000;
    private static final long SWEEP_MILLIS = 500;

    private enum State {
        ASKED,
        WON,
        STARTED,
        FINISHED,
        GIVEN_UP
    }

    private static final class Open {
        private final Claim mClaim;
        private final long mDeadlineMillis;
        private final CompletableFuture<KeyVerdict> mVerdict = new CompletableFuture<>();
        private State mState = State.ASKED;

        private Open(Claim claim, long deadlineMillis) {
            mClaim = claim;
            mDeadlineMillis = deadlineMillis;
        }
    }

    private final AgentIncarnation mSelf;
    private final IntFunction<List<ClaimPort>> mDeciders;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final ClaimSettings mSettings;
    private final RandomGenerator mRandom;
    private final ClaimNotes mNotes;
    private final Map<ClaimNonce, Open> mOpen = new HashMap<>();

    private AtMostOnce(
            AgentIncarnation self,
            IntFunction<List<ClaimPort>> deciders,
            Clock clock,
            ScheduledExecutorService executor,
            ClaimSettings settings,
            RandomGenerator random) {
        mSelf = self;
        mDeciders = deciders;
        mClock = clock;
        mExecutor = executor;
        mSettings = settings;
        mRandom = random;
        mNotes = ClaimNotes.create(settings.partitions(), deciders);
    }

    /**
     * Starts the agent's side.
     *
     * @param deciders the processes that decide a partition's claims, first choice first; never
     *     empty, as this process can always decide itself
     * @param random a secure source, for names of claims that nobody else makes
     */
    public static AtMostOnce start(
            AgentIncarnation self,
            IntFunction<List<ClaimPort>> deciders,
            Clock clock,
            ScheduledExecutorService executor,
            ClaimSettings settings,
            RandomGenerator random) {
        AtMostOnce once = new AtMostOnce(self, deciders, clock, executor, settings, random);
        executor.scheduleWithFixedDelay(
                once::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return once;
    }

    /** Claims the request's key. The future always gets a verdict, by the claim's time limit. */
    public CompletableFuture<KeyVerdict> begin(KeyedRequest request) {
        long now = mClock.wallTime();
        return IdempotencyKey.parse(request.key())
                .fold(
                        refusal -> refused(ClaimRefusal.NOT_UUID_V7),
                        key ->
                                request.window()
                                        .check(key, now)
                                        .map(r -> refused(ClaimRefusal.valueOf(r.name())))
                                        .orElseGet(() -> claim(key, request, now)));
    }

    /**
     * The one gate to the backend server: returns true at most once for a ticket, and never after
     * its deadline or after it was given back.
     */
    public synchronized boolean started(RunTicket ticket) {
        Open open = mOpen.get(ticket.nonce());
        if (open == null || open.mState != State.WON) {
            return false;
        }
        if (mClock.wallTime() >= open.mDeadlineMillis) {
            giveUp(open);
            return false;
        }
        open.mState = State.STARTED;
        return true;
    }

    /** Records the answer of a started run, so that a repeated key gets it. */
    public synchronized void finished(RunTicket ticket, StoredAnswer answer) {
        Open open = mOpen.remove(ticket.nonce());
        Invariants.check(
                open != null && open.mState == State.STARTED,
                "key %s is finished and was not started here",
                ticket.key());
        open.mState = State.FINISHED;
        mNotes.add(new ClaimRecord.Finished(ticket.key(), ticket.nonce(), answer));
        mExecutor.execute(mNotes::flush);
    }

    /**
     * Forgets a started run whose outcome cannot be known; its key is never run again by anyone.
     */
    public synchronized void lost(RunTicket ticket) {
        Open open = mOpen.remove(ticket.nonce());
        Invariants.check(
                open != null && open.mState == State.STARTED,
                "key %s is lost and was not started here",
                ticket.key());
    }

    /** Gives a won claim back that was not started; from now on it never is. */
    public synchronized void giveBack(RunTicket ticket) {
        Open open = mOpen.get(ticket.nonce());
        Invariants.check(
                open == null || open.mState != State.STARTED,
                "key %s is given back after it was started",
                ticket.key());
        if (open != null) {
            giveUp(open);
        }
    }

    /** Returns how many claims are open here. */
    public synchronized int openClaims() {
        return mOpen.size();
    }

    private CompletableFuture<KeyVerdict> claim(
            IdempotencyKey key, KeyedRequest request, long now) {
        if (now >= request.deadlineMillis()) {
            return refused(ClaimRefusal.DEADLINE_PASSED);
        }
        long wait = Math.min(request.deadlineMillis() - now, mSettings.claimTimeoutMillis());
        Claim claim =
                new Claim(
                        key,
                        ClaimNonce.of(mRandom.nextLong(), mRandom.nextLong()),
                        request.team(),
                        request.operation(),
                        request.content(),
                        mSelf,
                        now + wait + mSettings.window().skewMillis());
        Open open = new Open(claim, request.deadlineMillis());
        synchronized (this) {
            if (mOpen.size() >= MAX_OPEN_CLAIMS || mNotes.isFull()) {
                return refused(ClaimRefusal.OVERLOADED);
            }
            mOpen.put(claim.nonce(), open);
        }
        ask(open, 0);
        mExecutor.schedule(() -> askNext(open), wait / 2, TimeUnit.MILLISECONDS);
        mExecutor.schedule(
                () -> refuse(open, ClaimRefusal.LOG_SLOW, mSettings.backoffMillis()),
                wait,
                TimeUnit.MILLISECONDS);
        return open.mVerdict;
    }

    private void ask(Open open, int choice) {
        int partition = mSettings.partitions().of(open.mClaim.key());
        List<ClaimPort> deciders = mDeciders.apply(partition);
        ClaimPort decider = deciders.get(Math.min(choice, deciders.size() - 1));
        decider.decide(open.mClaim)
                .whenComplete(
                        (verdict, error) -> {
                            if (error == null) {
                                settle(open, verdict);
                            } else if (choice + 1 < deciders.size()) {
                                ask(open, choice + 1);
                            } else {
                                long backoff = mSettings.backoffMillis();
                                refuse(open, ClaimRefusal.LOG_UNAVAILABLE, backoff);
                            }
                        });
    }

    /** Asks another process when the first one is slow; the log tells the two sendings apart. */
    private void askNext(Open open) {
        int partition = mSettings.partitions().of(open.mClaim.key());
        if (!open.mVerdict.isDone() && mDeciders.apply(partition).size() > 1) {
            ask(open, 1);
        }
    }

    private void settle(Open open, ClaimVerdict verdict) {
        switch (verdict) {
            case ClaimVerdict.Won won -> win(open);
            case ClaimVerdict.Done done -> end(open, new KeyVerdict.AlreadyDone(done.answer()));
            case ClaimVerdict.Held held ->
                    end(open, new KeyVerdict.RunningOrUnknown(held.holder()));
            case ClaimVerdict.Refused r -> refuse(open, r.reason(), r.retryAfterMillis());
        }
    }

    private void win(Open open) {
        synchronized (this) {
            if (open.mState != State.ASKED) {
                return;
            }
            open.mState = State.WON;
        }
        Claim claim = open.mClaim;
        RunTicket ticket = new RunTicket(claim.key(), claim.nonce(), open.mDeadlineMillis);
        open.mVerdict.complete(new KeyVerdict.RunNow(ticket));
    }

    private void end(Open open, KeyVerdict verdict) {
        synchronized (this) {
            if (open.mState != State.ASKED) {
                return;
            }
            open.mState = State.GIVEN_UP;
            mOpen.remove(open.mClaim.nonce());
        }
        open.mVerdict.complete(verdict);
    }

    private void refuse(Open open, ClaimRefusal reason, long retryAfterMillis) {
        synchronized (this) {
            if (open.mState != State.ASKED) {
                return;
            }
            giveUp(open);
        }
        open.mVerdict.complete(new KeyVerdict.Refused(reason, retryAfterMillis));
    }

    private void giveUp(Open open) {
        Invariants.check(
                open.mState == State.ASKED || open.mState == State.WON,
                "key %s is given up after it was %s",
                open.mClaim.key(),
                open.mState);
        open.mState = State.GIVEN_UP;
        mOpen.remove(open.mClaim.nonce());
        mNotes.add(new ClaimRecord.GivenBack(open.mClaim.key(), open.mClaim.nonce()));
    }

    private void sweep() {
        synchronized (this) {
            long now = mClock.wallTime();
            Iterator<Open> opens = List.copyOf(mOpen.values()).iterator();
            while (opens.hasNext()) {
                Open open = opens.next();
                if (open.mState == State.WON && now >= open.mDeadlineMillis) {
                    giveUp(open);
                }
            }
        }
        mNotes.flush();
    }

    private CompletableFuture<KeyVerdict> refused(ClaimRefusal reason) {
        return CompletableFuture.completedFuture(
                new KeyVerdict.Refused(reason, mSettings.backoffMillis()));
    }
}
