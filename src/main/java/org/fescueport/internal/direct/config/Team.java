package org.fescueport.internal.direct.config;

import java.util.OptionalInt;
import org.fescueport.internal.decision.TeamId;

/**
 * A customer that shares the services with others.
 *
 * @param priority overrides the priority of a route; 0 is the most urgent
 */
public record Team(TeamId id, OptionalInt priority) {}
