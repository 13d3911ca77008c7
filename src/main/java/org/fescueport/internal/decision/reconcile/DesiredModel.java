package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.ModelDeclaration;

/** A declared model and the size of its artifact. */
public record DesiredModel(ModelDeclaration model, long artifactBytes) {}
