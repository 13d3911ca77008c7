package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Leaving;
import org.fescueport.internal.wire.generated.Load;
import org.fescueport.internal.wire.generated.Outcome;
import org.fescueport.internal.wire.generated.Started;

/** Builds the frames that an agent sends. */
final class AgentFrames {
    private AgentFrames() {}

    static Frame chunk(AttemptId id, org.fescueport.internal.decision.answer.Chunk chunk) {
        var body =
                Chunk.newBuilder()
                        .setKey(Frames.keyOf(id))
                        .setNumber(chunk.number())
                        .setData(ByteString.copyFrom(chunk.data()));
        return Frame.newBuilder().setChunk(body).build();
    }

    static Frame started(AttemptId id, int cachedTokens, Load load) {
        var body =
                Started.newBuilder()
                        .setKey(Frames.keyOf(id))
                        .setCachedTokens(cachedTokens)
                        .setLoad(load);
        return Frame.newBuilder().setStarted(body).build();
    }

    static Frame outcome(AttemptId id, BackendListener.End end, long retryAfterMillis, Load load) {
        return outcome(id, end, retryAfterMillis, load, ByteString.EMPTY);
    }

    /** The strikes are what the next agent must know before it gets the request. */
    static Frame outcome(
            AttemptId id,
            BackendListener.End end,
            long retryAfterMillis,
            Load load,
            ByteString strikes) {
        var body =
                Outcome.newBuilder()
                        .setKey(Frames.keyOf(id))
                        .setKind(Frames.kindOf(end.outcome()))
                        .setReason(end.reason())
                        .setDetail(end.detail())
                        .setRetryAfterMs(retryAfterMillis)
                        .setStatus(end.status())
                        .setContentType(end.contentType())
                        .setFinishReason(end.finishReason())
                        .setPromptTokens(end.usage().promptTokens())
                        .setCachedTokens(end.usage().cachedTokens())
                        .setCompletionTokens(end.usage().completionTokens())
                        .setLoad(load)
                        .setStrikes(strikes);
        return Frame.newBuilder().setOutcome(body).build();
    }

    static Frame leaving(long incarnation, String why) {
        var body = Leaving.newBuilder().setIncarnation(incarnation).setWhy(why);
        return Frame.newBuilder().setLeaving(body).build();
    }
}
