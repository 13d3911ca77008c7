package org.fescueport.internal.security;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Duration;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;

/** Makes TLS contexts of keys and certificates. */
final class TlsContexts {
    private static final String PROTOCOL = "TLSv1.3";

    /** A peer's certificate is looked at again after this time, even if it asks to go on. */
    private static final Duration SESSION_TIMEOUT = Duration.ofMinutes(10);

    private static final char[] IN_MEMORY = "in memory only".toCharArray();

    /** Both directions between processes of the fleet. */
    record Fleet(SslContext server, SslContext client) {}

    private TlsContexts() {}

    static Fleet fleet(TlsMaterial material) throws GeneralSecurityException {
        var peers = FleetTrustManager.of(material.trust());
        try {
            var server =
                    SslContextBuilder.forServer(material.key(), material.chainArray())
                            .clientAuth(ClientAuth.REQUIRE);
            var client =
                    SslContextBuilder.forClient()
                            .keyManager(material.key(), material.chainArray())
                            .endpointIdentificationAlgorithm(null);
            return new Fleet(build(server, peers), build(client, peers));
        } catch (IOException e) {
            throw new GeneralSecurityException("no TLS context can be made: " + e.getMessage(), e);
        }
    }

    private static SslContext build(SslContextBuilder builder, FleetTrustManager peers)
            throws IOException {
        return builder.sslProvider(SslProvider.JDK)
                .protocols(PROTOCOL)
                .trustManager(peers)
                .sessionTimeout(SESSION_TIMEOUT.toSeconds())
                .build();
    }

    /** Towards callers, who bring API keys and no certificates. */
    static SSLContext callers(TlsMaterial material) throws GeneralSecurityException {
        var keys = KeyStore.getInstance("PKCS12");
        try {
            keys.load(null, null);
        } catch (IOException e) {
            throw new GeneralSecurityException("an empty key store cannot be made", e);
        }
        keys.setKeyEntry("callers", material.key(), IN_MEMORY, material.chainArray());
        var managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        managers.init(keys, IN_MEMORY);
        var context = SSLContext.getInstance("TLS");
        context.init(managers.getKeyManagers(), null, null);
        return context;
    }
}
