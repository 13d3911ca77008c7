package org.fescueport.internal.security;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A TLS context that follows its files: good new ones are used for new connections, and while they
 * are bad the old ones go on.
 *
 * @param <T> the context
 */
final class RenewedTls<T> {
    private static final Logger LOG = LoggerFactory.getLogger(RenewedTls.class);

    /** Makes a context of what was read. */
    interface Maker<T> {
        T make(TlsMaterial material) throws GeneralSecurityException;
    }

    private record InUse<T>(T context, long expiresAtMillis) {}

    private final String mUse;
    private final TlsFiles mFiles;
    private final Maker<T> mMaker;
    private final Clock mClock;
    private final Counter mTaken;
    private final Counter mRefused;
    private volatile InUse<T> mInUse;
    private volatile boolean mIsRefusing;
    private List<byte[]> mSeen;

    private RenewedTls(
            String use, TlsFiles files, Maker<T> maker, Clock clock, MeterRegistry registry) {
        mUse = use;
        mFiles = files;
        mMaker = maker;
        mClock = clock;
        mTaken = registry.counter("tls_renewals", "use", use, "result", "taken");
        mRefused = registry.counter("tls_renewals", "use", use, "result", "refused");
    }

    /** Reads the files; throws {@link IllegalStateException} when they are bad. */
    static <T> RenewedTls<T> start(
            String use, TlsFiles files, Maker<T> maker, Clock clock, MeterRegistry registry) {
        var tls = new RenewedTls<>(use, files, maker, clock, registry);
        tls.mSeen = tls.contents();
        tls.mInUse =
                tls.load().getOrElseThrow(why -> new IllegalStateException("TLS files: " + why));
        registry.gauge("tls_expiry_seconds", List.of(tag(use)), tls, RenewedTls::secondsLeft);
        registry.gauge("tls_files_refused", List.of(tag(use)), tls, t -> t.mIsRefusing ? 1 : 0);
        return tls;
    }

    /** Returns the context for a new connection. */
    T current() {
        return mInUse.context();
    }

    /** Looks at the files; one thread at a time may call it. */
    void look() {
        var contents = contents();
        if (isSame(contents, mSeen)) {
            return;
        }
        mSeen = contents;
        load().peek(this::take).peekLeft(this::refuse);
    }

    private void take(InUse<T> next) {
        mInUse = next;
        mIsRefusing = false;
        mTaken.increment();
        LOG.info("new certificates for {} are used from now on", mUse);
    }

    private void refuse(String why) {
        mRefused.increment();
        if (!mIsRefusing) {
            LOG.warn("the new certificates for {} are bad, the old ones go on: {}", mUse, why);
        }
        mIsRefusing = true;
    }

    private Either<String, InUse<T>> load() {
        return TlsMaterial.load(mFiles, mClock.wallTime())
                .mapLeft(problems -> problems.toString())
                .flatMap(this::make);
    }

    private Either<String, InUse<T>> make(TlsMaterial material) {
        try {
            return Either.right(new InUse<>(mMaker.make(material), material.expiresAtMillis()));
        } catch (GeneralSecurityException e) {
            return Either.left(e.getMessage());
        }
    }

    private double secondsLeft() {
        return TimeUnit.MILLISECONDS.toSeconds(mInUse.expiresAtMillis() - mClock.wallTime());
    }

    private List<byte[]> contents() {
        var contents = new ArrayList<byte[]>();
        contents.add(content(mFiles.certificates()));
        contents.add(content(mFiles.key()));
        mFiles.trust().ifPresent(file -> contents.add(content(file)));
        return contents;
    }

    private static byte[] content(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            // Not there: a change like any other, judged by load().
            return new byte[0];
        }
    }

    private static boolean isSame(List<byte[]> one, List<byte[]> other) {
        for (int i = 0; i < one.size(); i++) {
            if (!Arrays.equals(one.get(i), other.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static io.micrometer.core.instrument.Tag tag(String use) {
        return io.micrometer.core.instrument.Tag.of("use", use);
    }
}
