package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Clock;
import java.util.concurrent.Executor;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.poison.PoisonAdmission;
import org.fescueport.internal.log.poison.PoisonGuard;

/**
 * Keeps requests that backend servers died of away from this one; on the agent's loop.
 *
 * <p>A suspect whose trial was won here runs with nothing beside it: others are refused until it is
 * over, and it waits for those that run.
 */
final class PoisonGate {
    private static final long TRIAL_RETRY_MILLIS = 1000;

    /** What the gate asks of the agent. */
    interface Runs {
        /** Goes on with a run that may start. */
        void proceed(Run run);

        /** Ends a run that may not. */
        void end(Run run, BackendListener.End end, long retryAfterMillis);
    }

    private final PoisonGuard mGuard;
    private final Executor mLoop;
    private final Runs mRuns;
    private final Clock mClock;
    private int mInFlight;
    private Run mTrial;
    private boolean mTrialWaits;

    private PoisonGate(PoisonGuard guard, Executor loop, Runs runs, Clock clock) {
        mGuard = guard;
        mLoop = loop;
        mRuns = runs;
        mClock = clock;
    }

    static PoisonGate of(PoisonGuard guard, Executor loop, Runs runs, Clock clock) {
        return new PoisonGate(guard, loop, runs, clock);
    }

    /** Lets a run go on, or ends it. */
    void admit(Run run) {
        var admission = mGuard.admit(run.fingerprint());
        if (admission.isDone()) {
            decide(run, admission.join());
        } else {
            admission.thenAccept(late -> mLoop.execute(() -> decide(run, late)));
        }
    }

    /** The last gate before the backend server. */
    boolean start(Run run) {
        if (!mGuard.started(run.id(), run.fingerprint())) {
            return false;
        }
        run.setServer(mGuard.server());
        mInFlight++;
        return true;
    }

    /** Notes that a started run is over; {@code cancelled} tells that nothing was learnt of it. */
    void onEnd(Run run, boolean cancelled) {
        mInFlight--;
        if (cancelled) {
            mGuard.cancelled(run.id());
        } else {
            mGuard.ended(run.id());
        }
    }

    /** Notes that a run is over, started or not. */
    void onClosed(Run run) {
        if (run == mTrial) {
            mTrial = null;
            mTrialWaits = false;
        }
        if (mTrialWaits && mInFlight == 0) {
            mTrialWaits = false;
            mRuns.proceed(mTrial);
        }
    }

    /**
     * Notes that the backend server died under this run, once for each run that it took along;
     * called before any router hears of it. Returns the strike against this run, which its router
     * tells the next agent before it sends the request there.
     */
    ByteString onBackendDied(Run run) {
        var died = run.server();
        if (died.equals(mGuard.server())) {
            mGuard.serverDied();
        }
        var strike = PoisonGuard.strikeMessage(run.fingerprint(), died, mClock.wallTime());
        return ByteString.copyFrom(strike);
    }

    private void decide(Run run, PoisonAdmission admission) {
        if (run.isEnded()) {
            return;
        }
        switch (admission) {
            case PoisonAdmission.Allowed ignored -> proceedUnlessTrial(run);
            case PoisonAdmission.RunAlone ignored -> tryAlone(run);
            case PoisonAdmission.NeedsTrial ignored -> refuseSuspect(run, TRIAL_RETRY_MILLIS);
            case PoisonAdmission.RetryLater wait -> refuseSuspect(run, wait.retryAfterMillis());
            case PoisonAdmission.Poison poison -> refuse(run, "poison", textOf(poison), 0);
        }
    }

    private void proceedUnlessTrial(Run run) {
        if (mTrial == null) {
            mRuns.proceed(run);
        } else {
            refuse(run, "overloaded", "a suspect runs here alone", TRIAL_RETRY_MILLIS);
        }
    }

    private void tryAlone(Run run) {
        if (mTrial != null) {
            refuseSuspect(run, TRIAL_RETRY_MILLIS);
            return;
        }
        mTrial = run;
        mTrialWaits = mInFlight > 0;
        if (!mTrialWaits) {
            mRuns.proceed(run);
        }
    }

    private void refuseSuspect(Run run, long retryAfterMillis) {
        refuse(
                run,
                "suspect",
                "a backend server died while it ran this request; it is tried again alone",
                retryAfterMillis);
    }

    private void refuse(Run run, String reason, String text, long retryAfterMillis) {
        mRuns.end(run, BackendListener.End.failed(Outcome.NOT_RUN, reason, text), retryAfterMillis);
    }

    private static String textOf(PoisonAdmission.Poison poison) {
        return poison.crashes()
                + " backend servers died while they ran this request; it is never run again";
    }
}
