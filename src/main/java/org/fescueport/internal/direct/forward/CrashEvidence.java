package org.fescueport.internal.direct.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Loss;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Progress;
import org.fescueport.internal.direct.place.PartVerdict;
import org.fescueport.internal.direct.place.PromptPartId;
import org.fescueport.internal.direct.state.ReplicaEntry;

/** What one request shows of crashes of replicas, and whether it must be refused for them. */
final class CrashEvidence {
    private final ForwardingContext mContext;
    private final CallerRequest mRequest;
    private final ByteBuf mBody;
    private final TeamId mTeam;
    private final List<PromptPartId> mParts;

    /** Whether an answer has been lost; a further loss shows less, as the cause may be the same. */
    private boolean mLost;

    /** Crashes of each part when the request was allowed to try a refused one. */
    private Optional<List<Integer>> mCrashesAtTrial = Optional.empty();

    /**
     * @param body of the request; read while the request is in progress only
     */
    CrashEvidence(ForwardingContext context, CallerRequest request, ByteBuf body, TeamId team) {
        mContext = context;
        mRequest = request;
        mBody = body;
        mTeam = team;
        mParts = request.prompt().partIds();
    }

    /** Returns why a new request must be refused, if replicas have crashed on its like. */
    Optional<String> admit() {
        if (!isEnabled()) {
            return Optional.empty();
        }
        if (isPoison()) {
            return Optional.of("replicas have died of this request");
        }
        return switch (mContext.crashes().admitParts(mParts, mContext.nowNanos())) {
            case PartVerdict.Refused refused -> Optional.of(refuse(refused.part()));
            case PartVerdict.Allowed allowed -> {
                if (allowed.isTrial()) {
                    mCrashesAtTrial = Optional.of(mContext.crashes().crashes(mParts));
                }
                yield Optional.empty();
            }
        };
    }

    /**
     * Returns why the request must not be sent, if replicas have crashed on a part of its prompt
     * since it was admitted.
     *
     * @param mayHaveRun whether it has been sent before
     */
    Optional<String> checkBeforeSend(boolean mayHaveRun) {
        if (!isEnabled()) {
            return Optional.empty();
        }
        long now = mContext.nowNanos();
        boolean isFirstOfTrial = mCrashesAtTrial.isPresent() && !mayHaveRun;
        var refused =
                isFirstOfTrial
                        ? mContext.crashes().refusedPartSince(mParts, mCrashesAtTrial.get(), now)
                        : mContext.crashes().refusedPart(mParts, now);
        return refused.map(this::refuse);
    }

    /** Records that the response was lost; the replica may have crashed on the request. */
    void onLost(Attempt attempt) {
        report(attempt, attempt.hasContent() || mLost ? Progress.PART : Progress.NOTHING);
    }

    /**
     * Records that the request was answered with success.
     *
     * @param endedByClose whether only the end of the connection ended the answer, as a crash does
     */
    void onSucceeded(Attempt attempt, boolean endedByClose) {
        if (!isEnabled()) {
            return;
        }
        if (endedByClose) {
            report(attempt, Progress.WHOLE_UNLESS_CRASHED);
            return;
        }
        var crashes = mContext.crashes();
        if (crashes.hasStrikes()) {
            crashes.onSucceeded(fingerprint());
        }
        crashes.onPartsAnswered(mParts, attempt.startNanos(), mContext.nowNanos());
    }

    private void report(Attempt attempt, Progress progress) {
        ReplicaEntry replica = attempt.replica();
        List<PromptPartId> suspects = suspects(replica, progress);
        mLost = true;
        var loss =
                new Loss(
                        fingerprint(), suspects, mParts, ownPart(), progress, attempt.startNanos());
        mContext.crashes().onLoss(loss, replica, mContext.nowNanos());
        if (progress != Progress.WHOLE_UNLESS_CRASHED || !suspects.isEmpty()) {
            mContext.crashCheck().begin(replica);
        }
    }

    private Optional<PromptPartId> ownPart() {
        return mParts.isEmpty() ? Optional.empty() : Optional.of(mParts.getLast());
    }

    private List<PromptPartId> suspects(ReplicaEntry replica, Progress progress) {
        return progress == Progress.NOTHING || isStaying(replica) ? mParts : List.of();
    }

    /** A replica that is leaving ends its answers without having crashed. */
    private boolean isStaying(ReplicaEntry replica) {
        return mContext.view().replica(replica.id()).filter(r -> !r.leaving()).isPresent();
    }

    private String refuse(PromptPartId part) {
        mContext.metrics().onPartRefused();
        return "a part of the prompt crashes replicas: " + part.part();
    }

    private boolean isEnabled() {
        return mContext.mechanisms().isEnabled(Mechanism.POISON);
    }

    private boolean isPoison() {
        var crashes = mContext.crashes();
        return crashes.hasStrikes() && crashes.isPoison(fingerprint(), mContext.nowNanos());
    }

    /**
     * Identifies the request by its team, method, target and body, so that all copies that a caller
     * sends have the same fingerprint on every node.
     */
    private Fingerprint fingerprint() {
        byte[] start = (mRequest.method() + " " + mRequest.target() + "\n").getBytes(UTF_8);
        byte[] content = Arrays.copyOf(start, start.length + mBody.readableBytes());
        mBody.getBytes(mBody.readerIndex(), content, start.length, mBody.readableBytes());
        return Fingerprint.of(mTeam, ContentHash.of(content));
    }
}
