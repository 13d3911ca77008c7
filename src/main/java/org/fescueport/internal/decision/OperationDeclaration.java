package org.fescueport.internal.decision;

import java.time.Duration;

/**
 * An operation of a plain service.
 *
 * @param idempotent whether running it twice does no harm
 * @param work its priority and deadline
 * @param keyWindow age up to which an idempotency key is accepted; unused when idempotent
 */
public record OperationDeclaration(
        String name, boolean idempotent, WorkKind work, Duration keyWindow) {}
