package org.fescueport.internal.log.claim;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Try;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimNonce;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ClaimVerdict;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.claim.IdempotencyKey;
import org.fescueport.internal.decision.claim.StoredAnswer;
import org.fescueport.internal.wire.generated.ClaimAnswer;
import org.fescueport.internal.wire.generated.ClaimEntry;
import org.fescueport.internal.wire.generated.ClaimGivenBack;
import org.fescueport.internal.wire.generated.ClaimHeld;
import org.fescueport.internal.wire.generated.ClaimOpening;
import org.fescueport.internal.wire.generated.ClaimRefused;
import org.fescueport.internal.wire.generated.ClaimReply;

/** Binary form of claim records and verdicts. */
public final class ClaimCodec {
    private ClaimCodec() {}

    /** Returns the bytes of a record, as they stand in the log and in calls. */
    public static byte[] encode(ClaimRecord record) {
        ClaimEntry.Builder entry =
                ClaimEntry.newBuilder()
                        .setKeyHigh(record.key().high())
                        .setKeyLow(record.key().low())
                        .setNonceHigh(record.nonce().high())
                        .setNonceLow(record.nonce().low());
        switch (record) {
            case ClaimRecord.Claim claim -> entry.setClaim(opening(claim));
            case ClaimRecord.GivenBack givenBack ->
                    entry.setGivenBack(ClaimGivenBack.getDefaultInstance());
            case ClaimRecord.Finished finished -> entry.setFinished(answer(finished.answer()));
        }
        return entry.build().toByteArray();
    }

    /** Reads a record; fails on bytes that are none. */
    public static Try<ClaimRecord> decode(byte[] data) {
        return Try.of(() -> record(ClaimEntry.parseFrom(data)));
    }

    /** Returns the bytes of a verdict. */
    public static byte[] encodeVerdict(ClaimVerdict verdict) {
        ClaimReply.Builder reply = ClaimReply.newBuilder();
        switch (verdict) {
            case ClaimVerdict.Won won -> reply.setWon(true);
            case ClaimVerdict.Done done -> reply.setDone(answer(done.answer()));
            case ClaimVerdict.Held held ->
                    reply.setHeld(
                            ClaimHeld.newBuilder()
                                    .setHolder(held.holder().node().name())
                                    .setHolderIncarnation(held.holder().number()));
            case ClaimVerdict.Refused refused ->
                    reply.setRefused(
                            ClaimRefused.newBuilder()
                                    .setReason(refused.reason().name())
                                    .setRetryAfterMs(refused.retryAfterMillis()));
        }
        return reply.build().toByteArray();
    }

    /** Reads a verdict; fails on bytes that are none. */
    public static Try<ClaimVerdict> decodeVerdict(byte[] data) {
        return Try.of(() -> verdict(ClaimReply.parseFrom(data)));
    }

    /** Returns the bytes of the answer to a record that asks for no verdict. */
    public static byte[] encodeNoted(boolean noted) {
        return ClaimReply.newBuilder().setNoted(noted).build().toByteArray();
    }

    /** Returns whether the answer says that the record stands in the log. */
    public static boolean decodeNoted(byte[] data) {
        return Try.of(() -> ClaimReply.parseFrom(data).getNoted()).getOrElse(false);
    }

    private static ClaimOpening opening(ClaimRecord.Claim claim) {
        return ClaimOpening.newBuilder()
                .setTeam(claim.team().name())
                .setOperation(claim.operation())
                .setContentHigh(claim.content().high())
                .setContentLow(claim.content().low())
                .setHolder(claim.holder().node().name())
                .setHolderIncarnation(claim.holder().number())
                .setValidUntilMs(claim.validUntilMillis())
                .build();
    }

    private static ClaimAnswer answer(StoredAnswer answer) {
        return ClaimAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .setBodyKept(answer.bodyKept())
                .build();
    }

    private static ClaimRecord record(ClaimEntry entry) throws InvalidProtocolBufferException {
        IdempotencyKey key = IdempotencyKey.of(entry.getKeyHigh(), entry.getKeyLow());
        ClaimNonce nonce = ClaimNonce.of(entry.getNonceHigh(), entry.getNonceLow());
        return switch (entry.getBodyCase()) {
            case CLAIM -> claim(key, nonce, entry.getClaim());
            case GIVEN_BACK -> new ClaimRecord.GivenBack(key, nonce);
            case FINISHED ->
                    new ClaimRecord.Finished(key, nonce, storedAnswer(entry.getFinished()));
            case BODY_NOT_SET ->
                    throw new InvalidProtocolBufferException("a claim entry without a body");
        };
    }

    private static ClaimRecord.Claim claim(
            IdempotencyKey key, ClaimNonce nonce, ClaimOpening opening) {
        return new ClaimRecord.Claim(
                key,
                nonce,
                TeamId.of(opening.getTeam()),
                opening.getOperation(),
                ContentHash.of(opening.getContentHigh(), opening.getContentLow()),
                AgentIncarnation.of(NodeId.of(opening.getHolder()), opening.getHolderIncarnation()),
                opening.getValidUntilMs());
    }

    private static StoredAnswer storedAnswer(ClaimAnswer answer) {
        return new StoredAnswer(
                answer.getStatus(),
                answer.getContentType(),
                answer.getBody().toByteArray(),
                answer.getBodyKept());
    }

    private static ClaimVerdict verdict(ClaimReply reply) throws InvalidProtocolBufferException {
        return switch (reply.getVerdictCase()) {
            case WON -> new ClaimVerdict.Won();
            case DONE -> new ClaimVerdict.Done(storedAnswer(reply.getDone()));
            case HELD ->
                    new ClaimVerdict.Held(
                            AgentIncarnation.of(
                                    NodeId.of(reply.getHeld().getHolder()),
                                    reply.getHeld().getHolderIncarnation()));
            case REFUSED ->
                    new ClaimVerdict.Refused(
                            ClaimRefusal.valueOf(reply.getRefused().getReason()),
                            reply.getRefused().getRetryAfterMs());
            case NOTED, VERDICT_NOT_SET ->
                    throw new InvalidProtocolBufferException("a claim reply without a verdict");
        };
    }
}
