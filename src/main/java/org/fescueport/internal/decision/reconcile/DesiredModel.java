package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.ModelDeclaration;

/** A model as declared, and the size of its artifact in bytes. */
public record DesiredModel(ModelDeclaration model, long artifactBytes) {}
