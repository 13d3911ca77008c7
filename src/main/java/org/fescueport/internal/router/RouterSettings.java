package org.fescueport.internal.router;

import org.fescueport.internal.settings.NodeSettings;

/**
 * Settings of a router.
 *
 * @param maxBodyBytes longest body of a request
 * @param drainSeconds longest wait for requests in flight at a stop
 */
record RouterSettings(NodeSettings node, int maxBodyBytes, int drainSeconds) {}
