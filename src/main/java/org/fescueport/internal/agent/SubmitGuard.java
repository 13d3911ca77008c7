package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.decision.attempt.RefusalReason;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Submit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Knows the agent's own state, and tells what in it speaks against taking a request. */
final class SubmitGuard {
    private static final Logger LOG = LoggerFactory.getLogger(SubmitGuard.class);
    private static final Duration CLOCK_SKEW = Duration.ofSeconds(1);

    private final AgentCore.Identity mIdentity;
    private final Clock mClock;
    private boolean mIsBackendUp = true;
    private String mLeavingWhy = "";
    private Optional<Frame> mServesNothing = Optional.empty();

    private SubmitGuard(AgentCore.Identity identity, Clock clock) {
        mIdentity = identity;
        mClock = clock;
    }

    static SubmitGuard of(AgentCore.Identity identity, Clock clock) {
        return new SubmitGuard(identity, clock);
    }

    /** Returns why the request is refused before anything else is looked at; empty for nothing. */
    Optional<RefusalReason> reasonAgainst(Submit submit) {
        long expected = submit.getExpectedIncarnation();
        if (expected != 0 && expected != mIdentity.incarnation()) {
            return Optional.of(RefusalReason.OTHER_INCARNATION);
        }
        if (isHeldUp(submit)) {
            return Optional.of(RefusalReason.DEADLINE_PASSED);
        }
        if (isLeaving()) {
            return Optional.of(RefusalReason.LEAVING);
        }
        if (mServesNothing.isPresent()) {
            return Optional.of(RefusalReason.NOT_SERVING);
        }
        return mIsBackendUp ? Optional.empty() : Optional.of(RefusalReason.BACKEND_DOWN);
    }

    /** Tells a router, before its refusal, that the engine serves nothing; it may not know yet. */
    void remind(FrameConnection connection) {
        mServesNothing.ifPresent(connection::send);
    }

    /** Takes the hello that says that the engine serves nothing; empty when it serves. */
    void onServesNothing(Optional<Frame> hello) {
        mServesNothing = hello;
    }

    /** Notes that the agent leaves; returns whether this is the first word of it. */
    boolean leave(String why) {
        if (isLeaving()) {
            return false;
        }
        mLeavingWhy = why;
        LOG.info("{} is leaving: {}", mIdentity.node(), why);
        return true;
    }

    boolean isLeaving() {
        return !mLeavingWhy.isEmpty();
    }

    void onHealth(boolean up) {
        if (up != mIsBackendUp) {
            LOG.info("backend server of {} is {}", mIdentity.node(), up ? "up" : "down");
        }
        mIsBackendUp = up;
    }

    /**
     * Tells a frame that waited in a frozen process or a cut connection until its time was over.
     */
    private boolean isHeldUp(Submit submit) {
        long latest = submit.getDeadlineWallMs() + CLOCK_SKEW.toMillis();
        return submit.getDeadlineWallMs() > 0 && mClock.wallTime() > latest;
    }
}
