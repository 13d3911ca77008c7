package org.fescueport.internal.log.claim;

import io.micrometer.core.instrument.Clock;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.claim.StoredAnswer;
import org.fescueport.internal.security.OwnerBoundKey;

/**
 * Keys that only this incarnation of this agent ever runs, each at most once. No log is needed: the
 * keys live in this memory, and with it they are gone.
 *
 * <pre>{@code
 * Optional<OwnerBoundKey> key = keys.issue(team, service, "spill", lifetimeMillis);
 * switch (keys.begin(opened, content)) {
 *     case RunNow run -> keys.finished(opened, call(service));
 *     ...
 * }
 * }</pre>
 */
public final class OwnerBoundKeys {
    /** What is done with a request that carries an owner-bound key. */
    public sealed interface Verdict {
        /** Run it now; the key counts as run from here on. */
        record RunNow() implements Verdict {}

        /** It was run before; this is the first answer. */
        record AlreadyDone(StoredAnswer answer) implements Verdict {}

        /** It was begun before and has no answer yet. */
        record RunningOrUnknown() implements Verdict {}

        /** This sending of it was surely not run. */
        record Refused(ClaimRefusal reason) implements Verdict {}
    }

    private static final class State {
        private final OwnerBoundKey mKey;
        private ContentHash mContent;
        private StoredAnswer mAnswer;

        private State(OwnerBoundKey key) {
            mKey = key;
        }
    }

    private final AgentIncarnation mSelf;
    private final String mAddress;
    private final int mMaxKeys;
    private final Clock mClock;
    private final Map<Long, State> mKeys = new LinkedHashMap<>();
    private long mNextSerial = 1;

    private OwnerBoundKeys(AgentIncarnation self, String address, int maxKeys, Clock clock) {
        mSelf = self;
        mAddress = address;
        mMaxKeys = maxKeys;
        mClock = clock;
    }

    /** Returns the keys of a new incarnation: none. */
    public static OwnerBoundKeys create(
            AgentIncarnation self, String address, int maxKeys, Clock clock) {
        return new OwnerBoundKeys(self, address, maxKeys, clock);
    }

    /** Issues a key; empty when as many are open as can be remembered. */
    public synchronized Optional<OwnerBoundKey> issue(
            TeamId team, PoolId service, String operation, long lifetimeMillis) {
        long now = mClock.wallTime();
        forgetExpired(now);
        if (mKeys.size() >= mMaxKeys) {
            return Optional.empty();
        }
        OwnerBoundKey key =
                new OwnerBoundKey(
                        team,
                        service,
                        operation,
                        mSelf,
                        mAddress,
                        mNextSerial++,
                        now + lifetimeMillis);
        mKeys.put(key.serial(), new State(key));
        return Optional.of(key);
    }

    /** Decides on a request with a key that was opened by its seal. */
    public synchronized Verdict begin(OwnerBoundKey key, ContentHash content) {
        if (!key.owner().equals(mSelf)) {
            return new Verdict.Refused(ClaimRefusal.OTHER_OWNER);
        }
        if (mClock.wallTime() >= key.expiresAtMillis()) {
            return new Verdict.Refused(ClaimRefusal.TOO_OLD);
        }
        State state = mKeys.get(key.serial());
        if (state == null || !state.mKey.equals(key)) {
            return new Verdict.Refused(ClaimRefusal.OTHER_OWNER);
        }
        if (state.mContent == null) {
            state.mContent = content;
            return new Verdict.RunNow();
        }
        if (!state.mContent.equals(content)) {
            return new Verdict.Refused(ClaimRefusal.OTHER_CONTENT);
        }
        return state.mAnswer == null
                ? new Verdict.RunningOrUnknown()
                : new Verdict.AlreadyDone(state.mAnswer);
    }

    /** Keeps the first answer for repeated requests. */
    public synchronized void finished(OwnerBoundKey key, StoredAnswer answer) {
        State state = mKeys.get(key.serial());
        if (state != null) {
            Invariants.check(
                    state.mContent != null && state.mAnswer == null,
                    "owner-bound key %d finished without being started, or twice",
                    key.serial());
            state.mAnswer = answer;
        }
    }

    /** Makes a key usable again that was begun and surely not handed to the backend server. */
    public synchronized void giveBack(OwnerBoundKey key) {
        State state = mKeys.get(key.serial());
        if (state != null) {
            Invariants.check(
                    state.mAnswer == null,
                    "owner-bound key %d is given back after it was run",
                    key.serial());
            state.mContent = null;
        }
    }

    private void forgetExpired(long now) {
        Iterator<State> states = mKeys.values().iterator();
        while (states.hasNext()) {
            if (now >= states.next().mKey.expiresAtMillis()) {
                states.remove();
            }
        }
    }
}
