package org.fescueport.internal.decision;

import java.time.Duration;

/**
 * Declared kind of work, with its priority and deadline.
 *
 * @param priority priority class; 0 is the most urgent
 * @param deadline time, from the arrival of the request, by which the answer must be complete
 */
public record WorkKind(String name, int priority, Duration deadline) {}
