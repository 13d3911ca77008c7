package org.fescueport.internal.security;

import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedTrustManager;
import javax.net.ssl.X509TrustManager;

/**
 * Accepts a peer whose certificate is signed by our bundle and names a role that belongs there.
 *
 * <p>VMs are reached by IP addresses that change hands, so a role takes the place of a host name:
 * an agent may be connected to; agents and routers may connect.
 */
final class FleetTrustManager extends X509ExtendedTrustManager {
    /** The handshakes of TLS 1.3 name no kind of authentication. */
    static final String ANY_AUTHENTICATION = "UNKNOWN";

    private final X509TrustManager mSignatures;

    private FleetTrustManager(X509TrustManager signatures) {
        mSignatures = signatures;
    }

    static FleetTrustManager of(List<X509Certificate> bundle) throws GeneralSecurityException {
        var anchors = KeyStore.getInstance("PKCS12");
        try {
            anchors.load(null, null);
        } catch (java.io.IOException e) {
            throw new GeneralSecurityException("an empty key store cannot be made", e);
        }
        for (var certificate : bundle) {
            anchors.setCertificateEntry("anchor-" + anchors.size(), certificate);
        }
        var factory = TrustManagerFactory.getInstance("PKIX");
        factory.init(anchors);
        return new FleetTrustManager((X509TrustManager) factory.getTrustManagers()[0]);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authentication)
            throws CertificateException {
        mSignatures.checkClientTrusted(chain, authentication);
        requireOneOf(EnumSet.allOf(FleetRole.class), chain[0]);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authentication)
            throws CertificateException {
        mSignatures.checkServerTrusted(chain, authentication);
        requireOneOf(EnumSet.of(FleetRole.AGENT), chain[0]);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authentication, Socket socket)
            throws CertificateException {
        checkClientTrusted(chain, authentication);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authentication, Socket socket)
            throws CertificateException {
        checkServerTrusted(chain, authentication);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authentication, SSLEngine engine)
            throws CertificateException {
        checkClientTrusted(chain, authentication);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authentication, SSLEngine engine)
            throws CertificateException {
        checkServerTrusted(chain, authentication);
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
        return mSignatures.getAcceptedIssuers();
    }

    private static void requireOneOf(Set<FleetRole> allowed, X509Certificate certificate)
            throws CertificateException {
        if (Collections.disjoint(FleetRole.of(certificate), allowed)) {
            var uris = allowed.stream().map(FleetRole::uri).toList();
            throw new CertificateException(
                    "the certificate of %s names none of the roles %s as a URI"
                            .formatted(certificate.getSubjectX500Principal(), uris));
        }
    }
}
