package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.ChatTicket;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.security.ChatTicketToken;
import org.fescueport.internal.security.OwnerBoundKey;
import org.fescueport.internal.security.ResumeToken;
import org.fescueport.internal.security.SealedTokens;
import org.fescueport.internal.security.TokenRefusal;

/** The tokens that a router hands to callers and takes back. */
final class RouterTokens {
    private static final Duration TICKET_LIFE = Duration.ofDays(3);
    private static final Duration RESUME_LIFE = Duration.ofMinutes(10);

    private final SealedTokens mTokens;
    private final Clock mClock;

    private RouterTokens(SealedTokens tokens, Clock clock) {
        mTokens = tokens;
        mClock = clock;
    }

    static RouterTokens of(SealedTokens tokens, Clock clock) {
        return new RouterTokens(tokens, clock);
    }

    /** Returns the ticket that names where a chat's prefix is held from now on. */
    String ticketFor(CallerRequest request, AgentIncarnation holder) {
        return mTokens.seal(
                new ChatTicketToken(
                        request.team().id(),
                        request.chat(),
                        request.pool(),
                        holder,
                        request.prefixHash(),
                        request.promptTokens(),
                        mClock.wallTime() + TICKET_LIFE.toMillis()));
    }

    /** Opens the ticket that a request brought; one that is not valid is simply no hint. */
    Optional<ChatTicket> ticketOf(CallerRequest request) {
        if (request.ticket().isEmpty()) {
            return Optional.empty();
        }
        return mTokens.openChatTicket(request.ticket(), request.team().id(), mClock.wallTime())
                .toJavaOptional()
                .filter(token -> token.chat().equals(request.chat()))
                .filter(token -> token.pool().equals(request.pool()))
                .map(RouterTokens::ticket);
    }

    /** Returns the token with which the caller goes on with an answer at any router. */
    String resumeFor(
            CallerRequest request, AttemptId attempt, AgentIncarnation agent, Replica replica) {
        return mTokens.seal(
                new ResumeToken(
                        request.team().id(),
                        attempt,
                        agent,
                        replica.address(),
                        mClock.wallTime() + RESUME_LIFE.toMillis()));
    }

    Either<TokenRefusal, ResumeToken> openResume(String text, TeamId team) {
        return mTokens.openResume(text, team, mClock.wallTime());
    }

    Either<TokenRefusal, OwnerBoundKey> openOwnerBoundKey(String text, TeamId team) {
        return mTokens.openOwnerBoundKey(text, team, mClock.wallTime());
    }

    private static ChatTicket ticket(ChatTicketToken token) {
        return new ChatTicket(
                token.team(),
                token.chat(),
                token.pool(),
                token.holder().node(),
                token.holder().number(),
                token.prefixTokens());
    }
}
