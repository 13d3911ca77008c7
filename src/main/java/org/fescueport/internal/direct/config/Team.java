package org.fescueport.internal.direct.config;

import java.util.OptionalInt;
import org.fescueport.internal.decision.TeamId;

/**
 * Who shares the services.
 *
 * @param priority goes before the priority of a route; 0 is the most urgent
 */
public record Team(TeamId id, OptionalInt priority) {}
