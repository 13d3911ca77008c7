package org.fescueport.internal.ctl;

import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.internal.log.config.PublishResult;
import org.fescueport.internal.settings.ExitCode;

/** Turns results into lines of output and the worst exit code. */
final class PublishReport {
    private int mExitCode = ExitCode.OK;

    /** Returns verdict, file and what belongs to the verdict. */
    Object[] fieldsOf(PublishResult result) {
        return switch (result) {
            case PublishResult.Judged judged -> fieldsOf(judged.file(), judged.verdict());
            case PublishResult.NotPublished none -> {
                worsen(ExitCode.FAILED);
                yield new Object[] {"not-published", none.file(), none.why()};
            }
            case PublishResult.Unknown unknown -> {
                worsen(CtlExit.UNKNOWN);
                yield new Object[] {"unknown", unknown.file(), unknown.why()};
            }
        };
    }

    int exitCode() {
        return mExitCode;
    }

    private Object[] fieldsOf(String file, Verdict verdict) {
        return switch (verdict) {
            case Verdict.Accepted accepted -> new Object[] {"accepted", file, accepted.version()};
            case Verdict.Lost lost -> {
                worsen(CtlExit.LOST);
                yield new Object[] {"lost", file, lost.currentVersion()};
            }
            case Verdict.Refused refused -> {
                worsen(CtlExit.LOST);
                yield new Object[] {"refused", file, String.join("; ", refused.conflicts())};
            }
            case Verdict.Skipped skipped -> {
                worsen(CtlExit.UNKNOWN);
                yield new Object[] {"unreadable", file, skipped.why()};
            }
            case Verdict.NoChange none -> new Object[] {"unchanged", file};
        };
    }

    private void worsen(int exitCode) {
        mExitCode = Math.max(mExitCode, exitCode);
    }
}
