package org.fescueport.testing;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import org.fescueport.internal.security.TlsFiles;

/** Signs certificates of a test; their keys are in the test's own folder only. */
public final class TestAuthority {
    private final X509Bundle mRoot;

    private TestAuthority(X509Bundle root) {
        mRoot = root;
    }

    /** Returns an authority with a key of its own. */
    public static TestAuthority create(String name) throws Exception {
        return new TestAuthority(
                valid(30).subject("CN=" + name).setIsCertificateAuthority(true).buildSelfSigned());
    }

    /** Returns a certificate valid from an hour ago for so many days; negative is expired. */
    public static CertificateBuilder valid(int days) {
        var now = Instant.now();
        return new CertificateBuilder()
                .ecp256()
                .subject("CN=test")
                .notBefore(now.minus(days < 0 ? 2L - days : 0, ChronoUnit.DAYS).minusSeconds(3600))
                .notAfter(now.plus(days, ChronoUnit.DAYS));
    }

    /** Returns a certificate with its key. */
    public X509Bundle sign(CertificateBuilder certificate) throws Exception {
        return certificate.buildIssuedBy(mRoot);
    }

    /** Returns the authority's own certificate. */
    public X509Bundle root() {
        return mRoot;
    }

    /** Returns the files of a process in a folder, which need not exist yet. */
    public static TlsFiles filesIn(Path folder) {
        return new TlsFiles(
                folder.resolve("certificates.pem"),
                folder.resolve("key.pem"),
                Optional.of(folder.resolve("trust.pem")));
    }

    /** Writes a certificate, its key and the authorities that are trusted; returns the files. */
    public static TlsFiles write(Path folder, X509Bundle certificate, TestAuthority... trusted)
            throws IOException {
        var files = filesIn(folder);
        Files.createDirectories(folder);
        Files.writeString(files.certificates(), certificate.getCertificatePathPEM());
        Files.writeString(files.key(), certificate.getPrivateKeyPEM());
        var trust = new StringBuilder();
        for (var authority : trusted) {
            trust.append(authority.mRoot.getCertificatePEM()).append('\n');
        }
        Files.writeString(files.trust().orElseThrow(), trust);
        return files;
    }
}
