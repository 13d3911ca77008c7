package org.fescueport.internal.security;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.ssl.NotSslRecordException;
import java.io.IOException;
import java.security.cert.CertificateException;
import java.time.Duration;
import javax.net.ssl.SSLException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts connections that ended because one side took the other for a stranger. */
final class RefusedPeers {
    private static final Logger LOG = LoggerFactory.getLogger(RefusedPeers.class);

    /** Reason of a connection that ended in its handshake without a word. */
    private static final String CLOSED = "closed";

    /** Without a refusal for this time, the next one is news again. */
    private static final Duration QUIET = Duration.ofMinutes(1);

    private final Clock mClock;
    private final MeterRegistry mRegistry;
    private boolean mIsRefusing;
    private long mLastNanos;

    private RefusedPeers(Clock clock, MeterRegistry registry) {
        mClock = clock;
        mRegistry = registry;
    }

    static RefusedPeers create(Clock clock, MeterRegistry registry) {
        return new RefusedPeers(clock, registry);
    }

    /** Counts one refusal; the first after a quiet time is logged. */
    synchronized void onRefused(Throwable failure) {
        var reason = reasonOf(failure);
        mRegistry.counter("tls_peers_refused", "reason", reason).increment();
        if (reason.equals(CLOSED)) {
            // A health check of the port looks like this; nobody was refused.
            return;
        }
        mLastNanos = mClock.monotonicTime();
        if (!mIsRefusing) {
            mIsRefusing = true;
            LOG.warn("connections are refused: {}", describe(failure));
        }
    }

    /** Notes the end of a run of refusals. */
    synchronized void look() {
        if (mIsRefusing && mClock.monotonicTime() - mLastNanos >= QUIET.toNanos()) {
            mIsRefusing = false;
            LOG.info("no connection was refused for {} s", QUIET.toSeconds());
        }
    }

    private static String reasonOf(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            var message = String.valueOf(cause.getMessage());
            if (cause instanceof NotSslRecordException) {
                return "plain";
            } else if (message.contains("Received fatal alert")) {
                return "by_peer";
            } else if (isLost(cause)) {
                return CLOSED;
            } else if (cause instanceof CertificateException
                    || message.contains("Empty client certificate chain")) {
                return "certificate";
            }
        }
        return "protocol";
    }

    /** Returns whether the connection ended by itself, before TLS found anything wrong. */
    private static boolean isLost(Throwable cause) {
        return cause instanceof IOException && !(cause instanceof SSLException)
                || String.valueOf(cause.getMessage()).contains("Connection closed while");
    }

    private static String describe(Throwable failure) {
        var text = new StringBuilder(String.valueOf(failure.getMessage()));
        for (var cause = failure.getCause(); cause != null; cause = cause.getCause()) {
            // What a plain peer sent stands in this error's message in hex.
            text.append(": ");
            text.append(cause instanceof NotSslRecordException ? "no TLS" : cause.getMessage());
        }
        return text.toString();
    }
}
