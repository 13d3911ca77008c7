package org.fescueport.internal.decision;

import java.time.Duration;

/**
 * Declaration of an operation of a plain service.
 *
 * @param idempotent whether the operation can safely run more than once
 * @param work priority and deadline of the operation
 * @param keyWindow maximum age of an accepted idempotency key; unused if the operation is
 *     idempotent
 */
public record OperationDeclaration(
        String name, boolean idempotent, WorkKind work, Duration keyWindow) {}
