package org.fescueport.internal.decision.placement;

/**
 * Load that an agent told in a response or a refusal.
 *
 * @param outstandingTokens its outstanding work
 * @param meanTokens its estimate of the pool's mean; 0 when unknown
 * @param tokensPerSecond speed at which it works its load off; 0 when unknown
 */
public record LoadReport(long outstandingTokens, long meanTokens, long tokensPerSecond) {}
