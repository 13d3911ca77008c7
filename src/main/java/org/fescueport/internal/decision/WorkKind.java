package org.fescueport.internal.decision;

import java.time.Duration;

/**
 * A declared kind of work.
 *
 * @param priority class of priority; 0 is the most urgent
 * @param deadline time from arrival within which the whole answer is due
 */
public record WorkKind(String name, int priority, Duration deadline) {}
