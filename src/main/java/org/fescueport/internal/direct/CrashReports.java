package org.fescueport.internal.direct;

import java.util.Optional;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.peer.PeerReports;
import org.fescueport.internal.direct.peer.StrikeCodec;
import org.fescueport.internal.direct.place.CrashingRequestDetector;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Loss;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Outcome;
import org.fescueport.internal.direct.place.PartStrike;
import org.fescueport.internal.direct.place.PromptPartId;
import org.fescueport.internal.direct.state.ReplicaEntry;

/** Logs which requests this node takes to have crashed replicas, and tells the other nodes. */
final class CrashReports implements CrashingRequestDetector.Listener {
    private final EventLog mLog;
    private final PeerReports mReports;

    CrashReports(EventLog log, PeerReports reports) {
        mLog = log;
        mReports = reports;
    }

    @Override
    public void onStrike(Fingerprint request, AgentIncarnation replica) {
        mLog.change("replica-died-of-request")
                .with("replica", replica)
                .with("team", request.team())
                .write();
        mReports.onStrike(StrikeCodec.encode(request, replica));
    }

    @Override
    public void onCleared(Fingerprint request) {
        mLog.change("request-cleared").with("team", request.team()).write();
        mReports.onStrike(StrikeCodec.encodeAnswered(request));
    }

    @Override
    public void onPartStrike(PartStrike strike, Optional<PromptPartId> part, int crashes) {
        mLog.change(strike.cleared() ? "part-cleared" : "replica-died-of-part")
                .with("replica", strike.replica())
                .with("part", part.map(PromptPartId::part).orElse(""))
                .with("evidence", strike.evidence())
                .with("crashes", crashes)
                .write();
        mReports.onStrike(StrikeCodec.encode(strike));
    }

    @Override
    public void onSuspicionEnded(Loss loss, ReplicaEntry replica, Outcome outcome) {
        mLog.decision("crash-suspicion")
                .with("replica", replica.life())
                .with("outcome", outcome)
                .with("progress", loss.progress())
                .with("parts", loss.parts().size())
                .with("suspects", loss.suspects().size())
                .write();
    }
}
