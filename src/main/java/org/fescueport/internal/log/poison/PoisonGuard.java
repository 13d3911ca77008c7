package org.fescueport.internal.log.poison;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.decision.poison.PoisonAdmission;
import org.fescueport.internal.decision.poison.PoisonRecord;
import org.fescueport.internal.decision.poison.PoisonRecord.Kind;
import org.fescueport.internal.decision.poison.PoisonTracker;
import org.fescueport.port.LogService;

/**
 * Protects the backend server of an agent from requests that crash it.
 *
 * <p>When the backend server crashes, a strike is recorded against each request that was in flight
 * on it. Strikes take effect locally at once, at the agents of the same pool through a message, and
 * at all other agents through the log. A suspected request runs again only after its agent has won
 * the trial in the log, so suspected requests wait while the log is unavailable.
 *
 * <pre>{@code
 * guard.admit(fingerprint).thenAccept(admission -> ...);
 * if (guard.started(attempt, fingerprint)) run(attempt);
 * guard.ended(attempt);
 * guard.serverDied();
 * }</pre>
 */
public final class PoisonGuard {
    private static final String STREAM = "poison";
    private static final int PAGE_RECORDS = 500;

    private final AgentIncarnation mAgent;
    private final LogService mLog;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final PoisonSettings mSettings;
    private final Consumer<byte[]> mPeerSender;
    private final Consumer<List<AttemptId>> mOnSuspects;
    private final PoisonTracker mTracker;
    private final Map<AttemptId, Fingerprint> mInFlight = new HashMap<>();
    private final Map<AttemptId, Fingerprint> mTrials = new HashMap<>();
    private final ArrayDeque<PoisonRecord> mUnsent = new ArrayDeque<>();
    private long mServerRestarts;
    private long mLastTrialMillis;
    private long mNextOffset;
    private long mAppendingUntilMillis;

    private PoisonGuard(
            AgentIncarnation agent,
            LogService log,
            Clock clock,
            ScheduledExecutorService executor,
            PoisonSettings settings,
            Consumer<byte[]> peers,
            Consumer<List<AttemptId>> suspects) {
        mAgent = agent;
        mLog = log;
        mClock = clock;
        mExecutor = executor;
        mSettings = settings;
        mPeerSender = peers;
        mOnSuspects = suspects;
        mTracker = PoisonTracker.create(settings.limits());
    }

    /**
     * Creates a guard and starts polling the log.
     *
     * @param peers sends a message to the other agents of the pool, which pass it to {@link
     *     #receive}
     * @param suspects receives attempts in flight here that became suspect because of a crash
     *     elsewhere: the receiver cancels their streams at once and submits the attempts again
     */
    public static PoisonGuard start(
            AgentIncarnation agent,
            LogService log,
            Clock clock,
            ScheduledExecutorService executor,
            PoisonSettings settings,
            Consumer<byte[]> peers,
            Consumer<List<AttemptId>> suspects) {
        PoisonGuard guard = new PoisonGuard(agent, log, clock, executor, settings, peers, suspects);
        executor.scheduleWithFixedDelay(
                guard::poll, 0, settings.pollMillis(), TimeUnit.MILLISECONDS);
        return guard;
    }

    /** Decides whether a request may run; requests the trial in the log for a suspected one. */
    public CompletableFuture<PoisonAdmission> admit(Fingerprint fingerprint) {
        PoisonAdmission admission = decide(fingerprint);
        if (!(admission instanceof PoisonAdmission.NeedsTrial)) {
            return CompletableFuture.completedFuture(admission);
        }
        CompletableFuture<PoisonAdmission> result = new CompletableFuture<>();
        mExecutor.schedule(
                () -> result.complete(retryLater()),
                mSettings.callTimeoutMillis(),
                TimeUnit.MILLISECONDS);
        List<PoisonRecord> records = new ArrayList<>(mTracker.strikes(fingerprint));
        records.add(new PoisonRecord(Kind.TRIAL, fingerprint, server(), nextTrialMillis()));
        mLog.append(STREAM, records.stream().map(PoisonCodec::encode).toList())
                .whenComplete((offset, error) -> decideTrial(fingerprint, result));
        return result;
    }

    /**
     * Registers an attempt as in flight, just before it is sent to the backend server. Returns
     * false if the request became suspect after it was admitted, or if another attempt started its
     * trial.
     */
    public synchronized boolean started(AttemptId attempt, Fingerprint fingerprint) {
        PoisonAdmission admission = decide(fingerprint);
        if (admission instanceof PoisonAdmission.RunAlone
                && mTracker.beginTrial(fingerprint, server(), mClock.wallTime())) {
            mTrials.put(attempt, fingerprint);
        } else if (!(admission instanceof PoisonAdmission.Allowed)) {
            return false;
        }
        mInFlight.put(attempt, fingerprint);
        return true;
    }

    /** Records that an attempt ended without a crash, which clears the request of a trial. */
    public void ended(AttemptId attempt) {
        end(attempt, Kind.CLEARED);
    }

    /** Records that an attempt was cancelled; a trial is released without a result. */
    public void cancelled(AttemptId attempt) {
        end(attempt, Kind.RELEASED);
    }

    /**
     * Records a crash of the backend server: the requests in flight on it become suspect. Must be
     * called before any router learns of the failure.
     */
    public void serverDied() {
        List<PoisonRecord> strikes = new ArrayList<>();
        synchronized (this) {
            Set<Fingerprint> suspects = new HashSet<>(mInFlight.values());
            long now = mClock.wallTime();
            suspects.forEach(f -> strikes.add(new PoisonRecord(Kind.STRIKE, f, server(), now)));
            strikes.forEach(s -> mTracker.strike(s.fingerprint(), s.server(), s.atMillis()));
            strikes.forEach(this::enqueue);
            mTracker.releaseTrials(server(), Long.MAX_VALUE).forEach(this::enqueue);
            mInFlight.clear();
            mTrials.clear();
            mServerRestarts++;
        }
        if (!strikes.isEmpty()) {
            mPeerSender.accept(PoisonCodec.encodeAll(strikes));
            mExecutor.execute(this::flush);
        }
    }

    /** Applies the strikes in a message of a peer or a router and returns their number. */
    public int receive(byte[] payload) {
        List<PoisonRecord> records =
                PoisonCodec.decodeAll(payload).getOrElse(List.of()).stream()
                        .filter(record -> record.kind() == Kind.STRIKE)
                        .toList();
        records.forEach(this::applyStrike);
        return records.size();
    }

    /**
     * Encodes the message by which a router reports to an agent that a request crashed a server.
     */
    public static byte[] strikeMessage(
            Fingerprint fingerprint, AgentIncarnation server, long nowMillis) {
        return PoisonCodec.encodeAll(
                List.of(new PoisonRecord(Kind.STRIKE, fingerprint, server, nowMillis)));
    }

    /** Returns the present incarnation of this agent's backend server. */
    public synchronized AgentIncarnation server() {
        return AgentIncarnation.of(mAgent.node(), mAgent.number() + mServerRestarts);
    }

    private synchronized void end(AttemptId attempt, Kind kind) {
        mInFlight.remove(attempt);
        Fingerprint tried = mTrials.remove(attempt);
        if (tried != null) {
            enqueue(new PoisonRecord(kind, tried, server(), mTracker.trialAtMillis(tried)));
        }
    }

    private PoisonAdmission decide(Fingerprint fingerprint) {
        return mTracker.admit(fingerprint, server(), mClock.wallTime());
    }

    private PoisonAdmission retryLater() {
        return new PoisonAdmission.RetryLater(mSettings.pollMillis());
    }

    /** Returns the time that identifies a trial of this server; no two trials share one. */
    private synchronized long nextTrialMillis() {
        mLastTrialMillis = Math.max(mLastTrialMillis + 1, mClock.wallTime());
        return mLastTrialMillis;
    }

    private void applyStrike(PoisonRecord record) {
        if (mTracker.strike(record.fingerprint(), record.server(), record.atMillis())) {
            reportSuspects(record.fingerprint());
        }
    }

    private void reportSuspects(Fingerprint fingerprint) {
        List<AttemptId> attempts = new ArrayList<>();
        synchronized (this) {
            mInFlight.forEach(
                    (attempt, known) -> {
                        if (known.equals(fingerprint) && !mTrials.containsKey(attempt)) {
                            attempts.add(attempt);
                        }
                    });
        }
        if (!attempts.isEmpty()) {
            mOnSuspects.accept(attempts);
        }
    }

    private void decideTrial(Fingerprint fingerprint, CompletableFuture<PoisonAdmission> result) {
        read().whenComplete(
                        (atEnd, error) -> {
                            PoisonAdmission admission = decide(fingerprint);
                            boolean open = admission instanceof PoisonAdmission.NeedsTrial;
                            result.complete(open ? retryLater() : admission);
                        });
    }

    private void poll() {
        long now = mClock.wallTime();
        mTracker.sweep(now);
        synchronized (this) {
            mTracker.releaseTrials(server(), now - mSettings.pollMillis()).forEach(this::enqueue);
        }
        read().whenComplete((atEnd, error) -> flush());
    }

    private CompletableFuture<Boolean> read() {
        long from;
        synchronized (this) {
            from = mNextOffset;
        }
        return mLog.read(STREAM, from, PAGE_RECORDS)
                .thenCompose(page -> applyPage(page) ? done() : read());
    }

    private static CompletableFuture<Boolean> done() {
        return CompletableFuture.completedFuture(true);
    }

    /**
     * Applies the records of a page and returns whether it was the last. Concurrent reads may
     * overlap; a record that has been applied is skipped.
     */
    private boolean applyPage(LogService.Page page) {
        List<Fingerprint> struck = new ArrayList<>();
        boolean atEnd;
        synchronized (this) {
            for (LogService.Entry entry : page.entries()) {
                if (entry.offset() >= mNextOffset) {
                    mNextOffset = entry.offset() + 1;
                    PoisonCodec.decode(entry.data())
                            .filter(mTracker::apply)
                            .onSuccess(record -> struck.add(record.fingerprint()));
                }
            }
            atEnd = page.entries().isEmpty() || mNextOffset >= page.nextOffset();
        }
        struck.forEach(this::reportSuspects);
        return atEnd;
    }

    private void enqueue(PoisonRecord record) {
        if (mUnsent.size() >= mSettings.unsentRecords()) {
            mUnsent.poll();
        }
        mUnsent.add(record);
    }

    private void flush() {
        List<PoisonRecord> batch;
        synchronized (this) {
            long now = mClock.wallTime();
            if (now < mAppendingUntilMillis || mUnsent.isEmpty()) {
                return;
            }
            mAppendingUntilMillis = now + mSettings.callTimeoutMillis();
            batch = List.copyOf(mUnsent);
        }
        mLog.append(STREAM, batch.stream().map(PoisonCodec::encode).toList())
                .whenComplete((offset, error) -> onFlushed(batch, error == null));
    }

    private synchronized void onFlushed(List<PoisonRecord> batch, boolean acknowledged) {
        mAppendingUntilMillis = 0;
        if (acknowledged) {
            mUnsent.removeAll(batch);
        }
    }
}
