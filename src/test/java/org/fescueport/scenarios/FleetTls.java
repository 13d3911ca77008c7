package org.fescueport.scenarios;

import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import org.fescueport.internal.security.FleetRole;
import org.fescueport.testing.TestAuthority;

/** Certificates of a fleet, in files of a folder that the system's temporary files are in. */
final class FleetTls {
    private static final TestAuthority CALLERS = authority("callers");
    private static final int READ_MILLIS = 5000;

    private final TestAuthority mOurs = authority("ours");
    private final Path mFolder;
    private final Map<String, X509Bundle> mCertificates = new HashMap<>();

    private FleetTls(Path folder) {
        mFolder = folder;
    }

    static FleetTls create() throws IOException {
        return new FleetTls(Files.createTempDirectory("fescue-tls"));
    }

    /** Returns what callers trust. */
    static SSLContext callersContext() {
        try {
            return context(null, CALLERS.root().toTrustManager());
        } catch (GeneralSecurityException e) {
            throw new AssertionError(e);
        }
    }

    /** Makes a node's certificates and returns the flags that name them. */
    List<String> argumentsOf(String node) {
        write(node);
        var fleet = TestAuthority.filesIn(mFolder.resolve(node));
        var callers = TestAuthority.filesIn(mFolder.resolve(node + "-callers"));
        var flags =
                List.of(
                        "--tls-certificates",
                        fleet.certificates().toString(),
                        "--tls-key",
                        fleet.key().toString(),
                        "--tls-trust",
                        fleet.trust().orElseThrow().toString());
        if (!isRouter(node)) {
            return flags;
        }
        var all = new java.util.ArrayList<>(flags);
        all.addAll(List.of("--callers-tls-certificates", callers.certificates().toString()));
        all.addAll(List.of("--callers-tls-key", callers.key().toString()));
        return all;
    }

    /** Writes new certificates of all nodes over the old ones. */
    void renew() {
        List.copyOf(mCertificates.keySet()).forEach(this::write);
    }

    X509Certificate certificateOf(String node) {
        return mCertificates.get(node).getCertificate();
    }

    /** Returns the certificate that a router of ours is shown at a port. */
    X509Certificate shownAt(int port) throws Exception {
        try (var socket = connect(port, sign(mOurs, FleetRole.ROUTER))) {
            return (X509Certificate) socket.getSession().getPeerCertificates()[0];
        }
    }

    /** Connects with a certificate of another authority; returns whether it was hung up on. */
    boolean isStrangerRefusedAt(int port) throws Exception {
        try (var socket = connect(port, sign(authority("strangers"), FleetRole.ROUTER))) {
            return socket.getInputStream().read() < 0;
        } catch (javax.net.ssl.SSLException | java.net.SocketException e) {
            return true;
        }
    }

    private SSLSocket connect(int port, X509Bundle certificate) throws Exception {
        var keys = certificate.toKeyManagerFactory().getKeyManagers();
        var context = context(keys, mOurs.root().toTrustManager());
        var socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port);
        socket.setSoTimeout(READ_MILLIS);
        socket.startHandshake();
        return socket;
    }

    private void write(String node) {
        var role = isRouter(node) ? FleetRole.ROUTER : FleetRole.AGENT;
        try {
            var certificate = sign(mOurs, role);
            mCertificates.put(node, certificate);
            TestAuthority.write(mFolder.resolve(node), certificate, mOurs);
            if (isRouter(node)) {
                var address = InetAddress.getByName("127.0.0.1");
                var callers = CALLERS.sign(TestAuthority.valid(1).addSanIpAddress(address));
                TestAuthority.write(mFolder.resolve(node + "-callers"), callers, CALLERS);
            }
        } catch (Exception e) {
            throw new AssertionError("no certificate of " + node, e);
        }
    }

    private static X509Bundle sign(TestAuthority authority, FleetRole role) throws Exception {
        return authority.sign(TestAuthority.valid(1).addSanUriName(role.uri()));
    }

    private static boolean isRouter(String node) {
        return node.startsWith("router");
    }

    private static SSLContext context(KeyManager[] keys, TrustManager trust)
            throws GeneralSecurityException {
        var context = SSLContext.getInstance("TLS");
        context.init(keys, new TrustManager[] {trust}, null);
        return context;
    }

    private static TestAuthority authority(String name) {
        try {
            return TestAuthority.create(name);
        } catch (Exception e) {
            throw new AssertionError("no authority " + name, e);
        }
    }
}
