package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.NodeId;

/** An order to a backend server to load a model's artifact. */
public record LoadOrder(NodeId node, String model, String artifact) {}
