package org.fescueport.internal.decision.placement;

/**
 * Load that an agent reports with a response or a refusal.
 *
 * @param outstandingTokens the agent's outstanding work
 * @param meanTokens the agent's estimate of the pool's mean load; 0 if unknown
 * @param tokensPerSecond the agent's throughput; 0 if unknown
 */
public record LoadReport(long outstandingTokens, long meanTokens, long tokensPerSecond) {}
