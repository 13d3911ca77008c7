package org.fescueport.internal.security;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A private key and certificates that were read from {@link TlsFiles} and fit together.
 *
 * @param chain the key's certificate first
 * @param trust what our peers' certificates are signed by; empty where nobody is asked for one
 */
public record TlsMaterial(
        PrivateKey key, List<X509Certificate> chain, List<X509Certificate> trust) {
    private static final byte[] PROBE = {1, 2, 3};

    /** Reads the files; every fault of them is told at once. */
    public static Either<List<TlsProblem>, TlsMaterial> load(TlsFiles files, long nowMillis) {
        var loader = new Loader(nowMillis);
        return loader.load(files);
    }

    /** Returns the wall time at which the first certificate of the chain expires. */
    public long expiresAtMillis() {
        return chain.stream().mapToLong(c -> c.getNotAfter().getTime()).min().orElseThrow();
    }

    X509Certificate[] chainArray() {
        return chain.toArray(X509Certificate[]::new);
    }

    private interface Reading<T> {
        T read(byte[] content) throws GeneralSecurityException;
    }

    private static final class Loader {
        private final long mNowMillis;
        private final List<TlsProblem> mProblems = new ArrayList<>();

        private Loader(long nowMillis) {
            mNowMillis = nowMillis;
        }

        private Either<List<TlsProblem>, TlsMaterial> load(TlsFiles files) {
            var chain = certificates(TlsProblem.Part.CERTIFICATES, files.certificates());
            var key = read(TlsProblem.Part.KEY, files.key(), Pem::privateKey);
            var trust =
                    files.trust()
                            .map(file -> certificates(TlsProblem.Part.TRUST, file))
                            .orElse(Optional.of(List.of()));
            if (chain.isPresent() && key.isPresent() && !isPair(key.get(), chain.get())) {
                add(TlsProblem.Part.KEY, files.key(), "it isn't the key of the first certificate");
            }
            if (mProblems.isEmpty() && files.trust().isPresent()) {
                checkOwnPlace(files, chain.get(), trust.get());
            }
            return mProblems.isEmpty()
                    ? Either.right(new TlsMaterial(key.get(), chain.get(), trust.get()))
                    : Either.left(List.copyOf(mProblems));
        }

        private Optional<List<X509Certificate>> certificates(TlsProblem.Part part, Path file) {
            var certificates = read(part, file, Pem::certificates);
            certificates.ifPresent(list -> list.forEach(each -> checkTime(part, file, each)));
            return certificates;
        }

        private void checkTime(TlsProblem.Part part, Path file, X509Certificate certificate) {
            var name = certificate.getSubjectX500Principal();
            var from = certificate.getNotBefore().toInstant();
            var until = certificate.getNotAfter().toInstant();
            var now = Instant.ofEpochMilli(mNowMillis);
            if (now.isAfter(until)) {
                add(part, file, "the certificate of " + name + " expired at " + until);
            } else if (now.isBefore(from)) {
                add(part, file, "the certificate of " + name + " isn't valid until " + from);
            }
        }

        private <T> Optional<T> read(TlsProblem.Part part, Path file, Reading<T> reading) {
            try {
                return Optional.of(reading.read(Files.readAllBytes(file)));
            } catch (IOException e) {
                add(part, file, "it can't be read (" + e.getClass().getSimpleName() + ")");
            } catch (GeneralSecurityException e) {
                add(part, file, "it isn't what it should be: " + e.getMessage());
            }
            return Optional.empty();
        }

        /** A process that its peers would refuse should not start. */
        private void checkOwnPlace(
                TlsFiles files, List<X509Certificate> chain, List<X509Certificate> trust) {
            try {
                var peers = FleetTrustManager.of(trust);
                var own = chain.toArray(X509Certificate[]::new);
                peers.checkClientTrusted(own, FleetTrustManager.ANY_AUTHENTICATION);
            } catch (GeneralSecurityException e) {
                add(
                        TlsProblem.Part.CERTIFICATES,
                        files.certificates(),
                        "our peers would refuse it: " + e.getMessage());
            }
        }

        private void add(TlsProblem.Part part, Path file, String what) {
            mProblems.add(new TlsProblem(part, file, what));
        }

        private static boolean isPair(PrivateKey key, List<X509Certificate> chain) {
            var publicKey = chain.getFirst().getPublicKey();
            try {
                var signature = Signature.getInstance(algorithmOf(key));
                signature.initSign(key);
                signature.update(PROBE);
                var signed = signature.sign();
                signature.initVerify(publicKey);
                signature.update(PROBE);
                return signature.verify(signed);
            } catch (GeneralSecurityException e) {
                return false;
            }
        }

        private static String algorithmOf(PrivateKey key) {
            return switch (key.getAlgorithm()) {
                case "EC" -> "SHA256withECDSA";
                case "RSA" -> "SHA256withRSA";
                default -> "EdDSA";
            };
        }
    }
}
