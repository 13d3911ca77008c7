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
 * Protects backend servers from requests that kill them; the agent's side.
 *
 * <p>When the server dies, what was in flight on it becomes suspect, here at once, at the peers by
 * a message, and everywhere by the log. A suspect runs again only after a trial was won in the log,
 * so while the log is down suspects wait.
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
    private final Consumer<byte[]> mPeers;
    private final Consumer<List<AttemptId>> mSuspects;
    private final PoisonTracker mTracker;
    private final Map<AttemptId, Fingerprint> mInFlight = new HashMap<>();
    private final Map<AttemptId, Fingerprint> mTrials = new HashMap<>();
    private final ArrayDeque<PoisonRecord> mUnsent = new ArrayDeque<>();
    private long mGeneration;
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
        mPeers = peers;
        mSuspects = suspects;
        mTracker = PoisonTracker.create(settings.limits());
    }

    /**
     * Starts the guard.
     *
     * @param peers tells the other agents of the pool, which pass it to {@link #receive}
     * @param suspects gets attempts in flight here that became suspect elsewhere: their streams are
     *     to be cancelled at once and the attempts submitted anew
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

    /** Tells whether a request may run; asks the log for the trial of a suspect. */
    public CompletableFuture<PoisonAdmission> admit(Fingerprint fingerprint) {
        PoisonAdmission admission = decide(fingerprint);
        if (!(admission instanceof PoisonAdmission.NeedsTrial)) {
            return CompletableFuture.completedFuture(admission);
        }
        CompletableFuture<PoisonAdmission> result = new CompletableFuture<>();
        mExecutor.schedule(
                () -> result.complete(waitAWhile()),
                mSettings.callTimeoutMillis(),
                TimeUnit.MILLISECONDS);
        List<PoisonRecord> records = new ArrayList<>(mTracker.strikes(fingerprint));
        records.add(new PoisonRecord(Kind.TRIAL, fingerprint, server(), nextTrialMillis()));
        mLog.append(STREAM, records.stream().map(PoisonCodec::encode).toList())
                .whenComplete((offset, error) -> readTrial(fingerprint, result));
        return result;
    }

    /**
     * The gate before the backend server: returns false when the request became suspect since it
     * was admitted, or when another attempt took its trial.
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

    /** Notes that the backend server is done with an attempt and lives. */
    public void ended(AttemptId attempt) {
        end(attempt, Kind.CLEARED);
    }

    /** Notes that an attempt's stream was cancelled: a trial has then shown nothing. */
    public void cancelled(AttemptId attempt) {
        end(attempt, Kind.RELEASED);
    }

    /**
     * Notes that the backend server died: what was in flight on it becomes suspect. Call it before
     * any router is told of the failure.
     */
    public void serverDied() {
        List<PoisonRecord> strikes = new ArrayList<>();
        synchronized (this) {
            Set<Fingerprint> suspects = new HashSet<>(mInFlight.values());
            long now = mClock.wallTime();
            suspects.forEach(f -> strikes.add(new PoisonRecord(Kind.STRIKE, f, server(), now)));
            strikes.forEach(s -> mTracker.strike(s.fingerprint(), s.server(), s.atMillis()));
            strikes.forEach(this::send);
            mTracker.releaseTrials(server(), Long.MAX_VALUE).forEach(this::send);
            mInFlight.clear();
            mTrials.clear();
            mGeneration++;
        }
        if (!strikes.isEmpty()) {
            mPeers.accept(PoisonCodec.encodeAll(strikes));
            mExecutor.execute(this::flush);
        }
    }

    /** Takes in what a peer or a router tells; returns how many records could be read. */
    public int receive(byte[] payload) {
        List<PoisonRecord> records =
                PoisonCodec.decodeAll(payload).getOrElse(List.of()).stream()
                        .filter(record -> record.kind() == Kind.STRIKE)
                        .toList();
        records.forEach(this::strike);
        return records.size();
    }

    /** Returns the message by which a router tells an agent that a server died of a request. */
    public static byte[] strikeMessage(
            Fingerprint fingerprint, AgentIncarnation server, long nowMillis) {
        return PoisonCodec.encodeAll(
                List.of(new PoisonRecord(Kind.STRIKE, fingerprint, server, nowMillis)));
    }

    /** Returns the life of the backend server beside this agent. */
    public synchronized AgentIncarnation server() {
        return AgentIncarnation.of(mAgent.node(), mAgent.number() + mGeneration);
    }

    private synchronized void end(AttemptId attempt, Kind kind) {
        mInFlight.remove(attempt);
        Fingerprint tried = mTrials.remove(attempt);
        if (tried != null) {
            send(new PoisonRecord(kind, tried, server(), mTracker.trialAtMillis(tried)));
        }
    }

    private PoisonAdmission decide(Fingerprint fingerprint) {
        return mTracker.admit(fingerprint, server(), mClock.wallTime());
    }

    private PoisonAdmission waitAWhile() {
        return new PoisonAdmission.RetryLater(mSettings.pollMillis());
    }

    /** Names a trial of this server: no two have the same time. */
    private synchronized long nextTrialMillis() {
        mLastTrialMillis = Math.max(mLastTrialMillis + 1, mClock.wallTime());
        return mLastTrialMillis;
    }

    private void strike(PoisonRecord record) {
        if (mTracker.strike(record.fingerprint(), record.server(), record.atMillis())) {
            tellSuspects(record.fingerprint());
        }
    }

    private void tellSuspects(Fingerprint fingerprint) {
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
            mSuspects.accept(attempts);
        }
    }

    private void readTrial(Fingerprint fingerprint, CompletableFuture<PoisonAdmission> result) {
        read().whenComplete(
                        (atEnd, error) -> {
                            PoisonAdmission admission = decide(fingerprint);
                            boolean open = admission instanceof PoisonAdmission.NeedsTrial;
                            result.complete(open ? waitAWhile() : admission);
                        });
    }

    private void poll() {
        long now = mClock.wallTime();
        mTracker.sweep(now);
        synchronized (this) {
            mTracker.releaseTrials(server(), now - mSettings.pollMillis()).forEach(this::send);
        }
        read().whenComplete((atEnd, error) -> flush());
    }

    private CompletableFuture<Boolean> read() {
        long from;
        synchronized (this) {
            from = mNextOffset;
        }
        return mLog.read(STREAM, from, PAGE_RECORDS)
                .thenCompose(page -> foldPage(page) ? done() : read());
    }

    private static CompletableFuture<Boolean> done() {
        return CompletableFuture.completedFuture(true);
    }

    /** Takes a page in; two readings at once may overlap, and no record is taken in twice. */
    private boolean foldPage(LogService.Page page) {
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
        struck.forEach(this::tellSuspects);
        return atEnd;
    }

    private void send(PoisonRecord record) {
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
                .whenComplete((offset, error) -> flushed(batch, error == null));
    }

    private synchronized void flushed(List<PoisonRecord> batch, boolean acknowledged) {
        mAppendingUntilMillis = 0;
        if (acknowledged) {
            mUnsent.removeAll(batch);
        }
    }
}
