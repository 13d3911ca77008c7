package org.fescueport.internal.router;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Clock;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.answer.AnswerAssembler;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.internal.wire.generated.TargetKind;

/** Builds the frame that submits an attempt. */
final class SubmitFrames {
    /** Bytes of an answer that an agent may send before it hears that the caller took some. */
    static final int FIRST_CREDIT_BYTES = 64 * 1024;

    private static final double THOUSANDTHS = 1000;

    private SubmitFrames() {}

    static Frame of(
            CallerRequest request,
            AttemptId id,
            AnswerAssembler answer,
            String traceparent,
            long expectedIncarnation,
            long leastRefusedTokens,
            String kvSource,
            Clock clock) {
        long leftNanos = Math.max(0, request.deadlineNanos() - clock.monotonicTime());
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(leftNanos);
        var submit =
                Submit.newBuilder()
                        .setKey(Frames.keyOf(id))
                        .setTeam(request.team().id().name())
                        .setTeamWeight(Math.round(request.team().weight() * THOUSANDTHS))
                        .setPriority(request.priority())
                        .setDeadlineInMs(leftMillis)
                        .setDeadlineWallMs(clock.wallTime() + leftMillis)
                        .setChat(request.chat().name())
                        .setPrefixHash(request.prefixHash())
                        .setPromptTokens(request.promptTokens())
                        .setMaxTokens(request.maxTokens())
                        .setBody(ByteString.copyFrom(request.body()))
                        .setTraceparent(traceparent)
                        .setResumeText(answer.text())
                        .setFirstChunk(answer.nextChunk())
                        .setExpectedIncarnation(expectedIncarnation)
                        .setLeastRefusedTokens(leastRefusedTokens)
                        .setKvSource(kvSource)
                        .setCreditBytes(FIRST_CREDIT_BYTES)
                        .setConfigVersion(request.configVersion());
        addTarget(submit, request.target());
        return Frame.newBuilder().setSubmit(submit).build();
    }

    private static void addTarget(Submit.Builder submit, CallerRequest.Target target) {
        switch (target) {
            case CallerRequest.Target.Model model ->
                    submit.setKind(TargetKind.MODEL).setTarget(model.name());
            case CallerRequest.Target.Service service ->
                    submit.setKind(TargetKind.SERVICE)
                            .setTarget(service.name())
                            .setOperation(service.operation())
                            .setIdempotencyKey(service.idempotencyKey())
                            .setNotRepeatable(!service.isRepeatable());
        }
    }
}
