package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import io.vavr.control.Either;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.claim.KeyWindow;
import org.fescueport.internal.decision.claim.StoredAnswer;
import org.fescueport.internal.log.claim.AtMostOnce;
import org.fescueport.internal.log.claim.KeyVerdict;
import org.fescueport.internal.log.claim.KeyedRequest;
import org.fescueport.internal.log.claim.OwnerBoundKeys;
import org.fescueport.internal.log.claim.RunTicket;
import org.fescueport.internal.security.OwnerBoundKey;
import org.fescueport.internal.security.SealedTokens;
import org.fescueport.internal.wire.generated.IssueKey;
import org.fescueport.internal.wire.generated.Submit;

/** The runs that may not be repeated: by a claim in the log, or by a key that this agent owns. */
final class KeyedRuns {
    private static final int MAX_STORED_BODY_BYTES = 4096;
    private static final int UUID_CHARS = 36;
    private static final int MOST_ASKS = 5;
    private static final long ASK_AGAIN_MILLIS = 400;

    /** The right to run a key here once. */
    sealed interface Permit {
        /** By a claim in the log. */
        record Claimed(RunTicket ticket) implements Permit {}

        /** By a key that this incarnation owns. */
        record Owned(OwnerBoundKey key) implements Permit {}
    }

    /** What is done with a request that carries a key. */
    sealed interface Verdict {
        /** Run it, after {@link KeyedRuns#start}. */
        record Run(Permit permit) implements Verdict {}

        /** It was run before; this is the first answer. */
        record Done(StoredAnswer answer) implements Verdict {}

        /** It was begun before; whether it was run cannot be told. */
        record Unknown(String detail) implements Verdict {}

        /** This sending of it was surely not run. */
        record Refused(ClaimRefusal reason, long retryAfterMillis) implements Verdict {}
    }

    private final AtMostOnce mClaims;
    private final OwnerBoundKeys mOwned;
    private final SealedTokens mTokens;
    private final Supplier<Declarations> mDeclarations;
    private final KeyWindow mDefaultWindow;
    private final Clock mClock;
    private final ScheduledExecutorService mTimers;

    private KeyedRuns(
            AtMostOnce claims,
            OwnerBoundKeys owned,
            SealedTokens tokens,
            Supplier<Declarations> declarations,
            KeyWindow defaultWindow,
            Clock clock,
            ScheduledExecutorService timers) {
        mClaims = claims;
        mOwned = owned;
        mTokens = tokens;
        mDeclarations = declarations;
        mDefaultWindow = defaultWindow;
        mClock = clock;
        mTimers = timers;
    }

    static KeyedRuns create(
            AtMostOnce claims,
            OwnerBoundKeys owned,
            SealedTokens tokens,
            Supplier<Declarations> declarations,
            KeyWindow defaultWindow,
            Clock clock,
            ScheduledExecutorService timers) {
        return new KeyedRuns(claims, owned, tokens, declarations, defaultWindow, clock, timers);
    }

    /** Asks for the right to run a request; the future always gets a verdict. */
    CompletableFuture<Verdict> begin(Submit submit, ContentHash content, long deadlineNanos) {
        if (submit.getIdempotencyKey().length() > UUID_CHARS) {
            return CompletableFuture.completedFuture(beginOwned(submit, content));
        }
        long left = deadlineNanos - mClock.monotonicTime();
        var request =
                new KeyedRequest(
                        submit.getIdempotencyKey(),
                        TeamId.of(submit.getTeam()),
                        submit.getTarget() + "/" + submit.getOperation(),
                        content,
                        windowOf(submit),
                        mClock.wallTime() + TimeUnit.NANOSECONDS.toMillis(left));
        return beginClaimed(request, 1);
    }

    /** A key that was begun shortly before gets its first answer as soon as the log has it. */
    private CompletableFuture<Verdict> beginClaimed(KeyedRequest request, int tries) {
        return mClaims.begin(request)
                .thenCompose(
                        verdict ->
                                verdict instanceof KeyVerdict.RunningOrUnknown
                                                && mayAskAgain(request, tries)
                                        ? askAgain(request, tries)
                                        : CompletableFuture.completedFuture(verdictOf(verdict)));
    }

    private boolean mayAskAgain(KeyedRequest request, int tries) {
        long next = mClock.wallTime() + ASK_AGAIN_MILLIS;
        return tries < MOST_ASKS && next < request.deadlineMillis();
    }

    private CompletableFuture<Verdict> askAgain(KeyedRequest request, int tries) {
        var verdict = new CompletableFuture<Verdict>();
        mTimers.schedule(
                () -> beginClaimed(request, tries + 1).thenAccept(verdict::complete),
                ASK_AGAIN_MILLIS,
                TimeUnit.MILLISECONDS);
        return verdict;
    }

    /** The gate before the backend server; true at most once for a permit. */
    boolean start(Permit permit) {
        return switch (permit) {
            case Permit.Claimed claimed -> mClaims.started(claimed.ticket());
            case Permit.Owned ignored -> true;
        };
    }

    /** Gives a permit back whose run was surely not started. */
    void giveBack(Permit permit) {
        switch (permit) {
            case Permit.Claimed claimed -> mClaims.giveBack(claimed.ticket());
            case Permit.Owned owned -> mOwned.giveBack(owned.key());
        }
    }

    /** Keeps the first answer of a started run; none when its outcome cannot be known. */
    void finish(Permit permit, Optional<StoredAnswer> answer) {
        switch (permit) {
            case Permit.Claimed claimed ->
                    answer.ifPresentOrElse(
                            given -> mClaims.finished(claimed.ticket(), given),
                            () -> mClaims.lost(claimed.ticket()));
            case Permit.Owned owned ->
                    answer.ifPresent(given -> mOwned.finished(owned.key(), given));
        }
    }

    /** Returns a sealed key that only this incarnation ever runs, or why there is none. */
    Either<String, String> issue(IssueKey ask) {
        return mOwned.issue(
                        TeamId.of(ask.getTeam()),
                        PoolId.of(ask.getService()),
                        ask.getOperation(),
                        ask.getLifetimeMs())
                .<Either<String, String>>map(key -> Either.right(mTokens.seal(key)))
                .orElseGet(() -> Either.left("as many keys are open as this agent remembers"));
    }

    static StoredAnswer answerOf(BackendListener.End end, byte[] body) {
        return StoredAnswer.of(end.status(), end.contentType(), body, MAX_STORED_BODY_BYTES);
    }

    private Verdict beginOwned(Submit submit, ContentHash content) {
        var team = TeamId.of(submit.getTeam());
        var opened = mTokens.openOwnerBoundKey(submit.getIdempotencyKey(), team, mClock.wallTime());
        if (opened.isLeft()) {
            return new Verdict.Refused(ClaimRefusal.NOT_UUID_V7, 0);
        }
        var key = opened.get();
        boolean isSameCall =
                key.service().name().equals(submit.getTarget())
                        && key.operation().equals(submit.getOperation());
        if (!isSameCall) {
            return new Verdict.Refused(ClaimRefusal.OTHER_CONTENT, 0);
        }
        return switch (mOwned.begin(key, content)) {
            case OwnerBoundKeys.Verdict.RunNow ignored -> new Verdict.Run(new Permit.Owned(key));
            case OwnerBoundKeys.Verdict.AlreadyDone done -> new Verdict.Done(done.answer());
            case OwnerBoundKeys.Verdict.RunningOrUnknown ignored ->
                    new Verdict.Unknown("a run with this key was begun and has no answer yet");
            case OwnerBoundKeys.Verdict.Refused refused -> new Verdict.Refused(refused.reason(), 0);
        };
    }

    private static Verdict verdictOf(KeyVerdict verdict) {
        return switch (verdict) {
            case KeyVerdict.RunNow run -> new Verdict.Run(new Permit.Claimed(run.ticket()));
            case KeyVerdict.AlreadyDone done -> new Verdict.Done(done.answer());
            case KeyVerdict.RunningOrUnknown held ->
                    new Verdict.Unknown(
                            "a run with this key was begun at "
                                    + held.holder()
                                    + "; it is never run again");
            case KeyVerdict.Refused refused ->
                    new Verdict.Refused(refused.reason(), refused.retryAfterMillis());
        };
    }

    private KeyWindow windowOf(Submit submit) {
        var service = mDeclarations.get().services().get(submit.getTarget());
        if (service == null || !service.operations().containsKey(submit.getOperation())) {
            return mDefaultWindow;
        }
        long declared = service.operations().get(submit.getOperation()).keyWindow().toMillis();
        long window = Math.min(declared, mDefaultWindow.windowMillis());
        return new KeyWindow(window, mDefaultWindow.skewMillis());
    }

    /** Returns a refusal as outcomes name it. */
    static String nameOf(ClaimRefusal refusal) {
        return refusal.name().toLowerCase(Locale.ROOT);
    }
}
