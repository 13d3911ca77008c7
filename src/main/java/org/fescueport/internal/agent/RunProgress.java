package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fescueport.internal.decision.admission.AdmissionQueue;
import org.fescueport.internal.decision.admission.ThroughputEstimate;
import org.fescueport.internal.decision.answer.AnswerBuffer;
import org.fescueport.internal.wire.generated.Load;

/** Follows what the backend server makes of one run; on the agent's loop. */
final class RunProgress implements BackendListener {
    /** What all runs of an agent share. */
    record Shared(
            AdmissionQueue queue,
            ThroughputEstimate speeds,
            AnswerBuffer buffer,
            AgentCounters counters,
            Supplier<Load> load,
            Clock clock,
            BiConsumer<Run, End> onEnd) {}

    private final Run mRun;
    private final Shared mShared;

    private RunProgress(Run run, Shared shared) {
        mRun = run;
        mShared = shared;
    }

    static RunProgress of(Run run, Shared shared) {
        return new RunProgress(run, shared);
    }

    @Override
    public void onStarted(int cachedTokens) {
        if (mRun.isEnded()) {
            return;
        }
        mShared.queue().onPrefilled(mRun.id());
        long prefilled = mRun.submit().getPromptTokens() - cachedTokens;
        mShared.speeds().onPrefill(prefilled, nanosSinceProgress());
        mRun.span().setAttribute("fescue.cached_tokens", cachedTokens);
        mRun.tellStarted(AgentFrames.started(mRun.id(), cachedTokens, mShared.load().get()));
    }

    @Override
    public void onPiece(byte[] piece, int tokens) {
        if (mRun.isEnded()) {
            return;
        }
        mShared.queue().onTokens(mRun.id(), tokens);
        mShared.speeds().onDecode(tokens, nanosSinceProgress());
        var chunk = mShared.buffer().append(mRun.id(), piece);
        if (chunk == null) {
            return;
        }
        mRun.add(chunk);
        if (mShared.buffer().isFull(mRun.id())) {
            mRun.setReading(false);
        }
    }

    @Override
    public void onEnd(End end) {
        var usage = end.usage();
        mShared.counters()
                .onTokens(usage.promptTokens(), usage.cachedTokens(), usage.completionTokens());
        if (!mRun.isEnded()) {
            mShared.onEnd().accept(mRun, end);
        }
    }

    private long nanosSinceProgress() {
        long now = mShared.clock().monotonicTime();
        long passed = now - mRun.progressNanos();
        mRun.setProgressNanos(now);
        return passed;
    }
}
