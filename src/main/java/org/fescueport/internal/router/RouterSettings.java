package org.fescueport.internal.router;

import java.util.Optional;
import org.fescueport.internal.security.TlsFiles;
import org.fescueport.internal.settings.NodeSettings;

/**
 * Settings of a router.
 *
 * @param maxBodyBytes longest body of a request
 * @param drainSeconds longest wait for requests in flight at a stop
 * @param callersTls for connections of callers; absent for plain TCP
 */
record RouterSettings(
        NodeSettings node, int maxBodyBytes, int drainSeconds, Optional<TlsFiles> callersTls) {}
