package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.NodeId;

/** Lets one backend server load an artifact. */
public record LoadOrder(NodeId node, String model, String artifact) {}
