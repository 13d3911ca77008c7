package org.fescueport.internal.router;

import org.fescueport.internal.decision.Work;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.LoadBound;
import org.fescueport.internal.decision.placement.PlacementRequest;

/** Turns a caller's request into what the placement needs to know. */
final class PlacementRequests {
    /** Load below which no replica is held to be too loaded. */
    private static final long FLOOR_TOKENS = 300;

    /** Answers are usually shorter than what the caller allows. */
    private static final int EXPECTED_SHARE_OF_MAX_TOKENS = 2;

    private PlacementRequests() {}

    static PlacementRequest of(CallerRequest request, RouterTokens tokens) {
        var affinity = affinityOf(request);
        long work = tokensOf(request);
        return switch (request.target()) {
            case CallerRequest.Target.Model ignored ->
                    PlacementRequest.forExistingChat(affinity, tokens.ticketOf(request), work);
            case CallerRequest.Target.Service ignored ->
                    PlacementRequest.forNewChat(affinity, work);
        };
    }

    static LoadBound boundOf(CallerRequest request) {
        return LoadBound.of(request.loadBound(), FLOOR_TOKENS);
    }

    static long tokensOf(CallerRequest request) {
        int expected = Math.max(1, request.maxTokens() / EXPECTED_SHARE_OF_MAX_TOKENS);
        return Work.of(request.promptTokens(), expected).loadTokens();
    }

    private static Affinity affinityOf(CallerRequest request) {
        return switch (request.target()) {
            case CallerRequest.Target.Model ignored ->
                    Affinity.ofChat(request.team().id(), request.chat());
            case CallerRequest.Target.Service ignored -> Affinity.none(request.id());
        };
    }
}
