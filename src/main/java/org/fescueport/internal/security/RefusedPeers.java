package org.fescueport.internal.security;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.ssl.NotSslRecordException;
import java.security.cert.CertificateException;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts connections that ended because one side took the other for a stranger. */
final class RefusedPeers {
    private static final Logger LOG = LoggerFactory.getLogger(RefusedPeers.class);

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
        mRegistry.counter("tls_peers_refused", "reason", reasonOf(failure)).increment();
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
            } else if (message.contains("Connection closed while")) {
                return "closed";
            } else if (cause instanceof CertificateException
                    || message.contains("Empty client certificate chain")) {
                return "certificate";
            }
        }
        return "protocol";
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
