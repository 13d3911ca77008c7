package org.fescueport.internal.decision.share;

/**
 * The requests of a team to a pool.
 *
 * @param offered requests per second that arrived
 * @param started requests per second whose response began
 */
public record TeamDemand(TeamKey team, double offered, double started) {}
