package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.pkitesting.X509Bundle;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import org.fescueport.internal.security.NodeTls;
import org.fescueport.internal.security.TlsFiles;
import org.fescueport.testing.TestAuthority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

@org.junit.jupiter.api.Timeout(30)
class HttpServerTlsTest {
    @TempDir private Path mFolder;
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private TestAuthority mOurs;
    private NodeTls mTls;
    private HttpServer mServer;

    @BeforeEach
    void start() throws Exception {
        mOurs = TestAuthority.create("callers");
        var files = write(sign());
        mTls = NodeTls.create(Optional.empty(), Optional.of(files), Clock.SYSTEM, mMeters);
        mServer =
                HttpServer.start(
                        HttpServerSettings.of("127.0.0.1", 0).withTls(mTls.callers().orElseThrow()),
                        exchange -> exchange.respond(200, Map.of(), exchange.body()));
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldServeBothVersionsOverTls(HttpClient.Version version) throws Exception {
        var response = send(version);

        assertThat(response.body(), is("text"));
        assertThat(response.version(), is(version));
    }

    @Test
    void shouldUseARenewedCertificateForNewConnections() throws Exception {
        var first = certificateOf(send(HttpClient.Version.HTTP_1_1));
        var next = sign();
        write(next);

        mTls.look();

        var second = certificateOf(send(HttpClient.Version.HTTP_1_1));
        assertThat(second, is(next.getCertificate()));
        assertThat(second.equals(first), is(false));
        assertThat(mMeters.get("tls_renewals").tag("result", "taken").counter().count(), is(1.0));
    }

    private HttpResponse<String> send(HttpClient.Version version) throws Exception {
        var context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {mOurs.root().toTrustManager()}, null);
        var url = URI.create("https://127.0.0.1:" + mServer.port() + "/");
        var request =
                HttpRequest.newBuilder(url)
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString("text"))
                        .build();
        try (var client = HttpClient.newBuilder().version(version).sslContext(context).build()) {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        }
    }

    private static X509Certificate certificateOf(HttpResponse<String> response) throws Exception {
        var session = response.sslSession().orElseThrow();
        return (X509Certificate) session.getPeerCertificates()[0];
    }

    private X509Bundle sign() throws Exception {
        var address = InetAddress.getByName("127.0.0.1");
        return mOurs.sign(TestAuthority.valid(1).addSanIpAddress(address));
    }

    private TlsFiles write(X509Bundle certificate) throws Exception {
        var files = TestAuthority.write(mFolder, certificate, mOurs);
        return new TlsFiles(files.certificates(), files.key(), Optional.empty());
    }
}
