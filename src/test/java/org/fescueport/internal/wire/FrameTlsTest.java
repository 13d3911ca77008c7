package org.fescueport.internal.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.util.InsecureTrustManagerFactory;
import io.netty.pkitesting.X509Bundle;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.security.FleetRole;
import org.fescueport.internal.security.NodeTls;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.testing.TestAuthority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

@org.junit.jupiter.api.Timeout(30)
class FrameTlsTest {
    private static final long WAIT_SECONDS = 5;
    private static final InetSocketAddress LOOPBACK = new InetSocketAddress("127.0.0.1", 0);

    @TempDir private Path mFolder;
    private final SimpleMeterRegistry mAgentMeters = new SimpleMeterRegistry();
    private final SimpleMeterRegistry mRouterMeters = new SimpleMeterRegistry();
    private final LinkedBlockingQueue<Frame> mReceived = new LinkedBlockingQueue<>();
    private TestAuthority mOurs;
    private NodeTls mAgentTls;
    private NodeTls mRouterTls;
    private FrameTransport mAgent;
    private FrameTransport mRouter;
    private InetSocketAddress mAddress;

    private enum Stranger {
        ALIEN,
        WITHOUT_ROLE,
        WITHOUT_CERTIFICATE,
        EXPIRED
    }

    @BeforeEach
    void start() throws Exception {
        mOurs = TestAuthority.create("ours");
        mAgentTls = tls("agent", sign(mOurs, FleetRole.AGENT), mAgentMeters);
        mRouterTls = tls("router", sign(mOurs, FleetRole.ROUTER), mRouterMeters);
        mAgent = transport(mAgentTls);
        mRouter = transport(mRouterTls);
        mAddress = mAgent.listen(LOOPBACK, new Recorder());
    }

    @AfterEach
    void stop() {
        mAgent.close();
        mRouter.close();
    }

    @Test
    void shouldCarryFramesOnOldAndNewConnectionsThroughARenewal() throws Exception {
        var before = connect(mRouter);
        assertThat(arrives(before, "before"), is("before"));

        var next = TestAuthority.create("next");
        write("agent", sign(next, FleetRole.AGENT), mOurs, next);
        mAgentTls.look();
        assertThrows(CompletionException.class, () -> connect(mRouter), "not yet trusted");
        write("router", sign(next, FleetRole.ROUTER), mOurs, next);
        mRouterTls.look();

        assertThat(arrives(connect(mRouter), "after"), is("after"));
        assertThat(arrives(before, "still"), is("still"));
        assertThat(renewals("taken"), is(1.0));
    }

    @Test
    void shouldKeepTheOldCertificateWhileTheNewOneIsBad() throws Exception {
        Files.writeString(TestAuthority.filesIn(mFolder.resolve("agent")).key(), "broken");

        mAgentTls.look();
        mAgentTls.look();

        assertThat(renewals("refused"), is(1.0));
        assertThat(mAgentMeters.get("tls_files_refused").gauge().value(), is(1.0));
        assertThat(arrives(connect(mRouter), "old"), is("old"));
        write("agent", sign(mOurs, FleetRole.AGENT), mOurs);
        mAgentTls.look();
        assertThat(mAgentMeters.get("tls_files_refused").gauge().value(), is(0.0));
        assertThat(arrives(connect(mRouter), "new"), is("new"));
    }

    @Test
    void shouldTellTheTimeUntilTheCertificateExpires() {
        double left = mAgentMeters.get("tls_expiry_seconds").gauge().value();

        assertThat(left, is(greaterThan(86_000.0)));
        assertThat(left < 86_401, is(true));
    }

    @ParameterizedTest
    @EnumSource(Stranger.class)
    void shouldRefuseAndCountAStranger(Stranger stranger) throws Exception {
        var context = Optional.of(contextOf(stranger));
        try (var transport =
                FrameTransport.create(1, Optional::empty, () -> context, failure -> {})) {
            sendIfOpen(transport);

            assertThat("nothing is heard of it", mReceived.poll(1, TimeUnit.SECONDS), nullValue());
            awaitRefusal(mAgentMeters, "certificate");
        }
    }

    @Test
    void shouldRefuseAndCountAPlainConnection() throws Exception {
        try (var plain =
                FrameTransport.create(1, Optional::empty, Optional::empty, failure -> {})) {
            sendIfOpen(plain);

            assertThat("nothing is heard of it", mReceived.poll(1, TimeUnit.SECONDS), nullValue());
            awaitRefusal(mAgentMeters, "plain");
        }
    }

    @Test
    void shouldRefuseARouterThatTakesAnAgentsPlace() throws Exception {
        var address = mRouter.listen(LOOPBACK, new Recorder());

        var opened = mAgent.connect(address, new Recorder());

        assertThrows(CompletionException.class, opened::join);
        awaitRefusal(mAgentMeters, "certificate");
    }

    private static void sendIfOpen(FrameTransport transport, InetSocketAddress address) {
        transport
                .connect(address, new Ignorer())
                .thenCompose(connection -> connection.send(hello("stranger")))
                .exceptionally(failure -> null)
                .join();
    }

    private void sendIfOpen(FrameTransport transport) {
        sendIfOpen(transport, mAddress);
    }

    private SslContext contextOf(Stranger stranger) throws Exception {
        var builder =
                SslContextBuilder.forClient()
                        .trustManager(InsecureTrustManagerFactory.INSTANCE)
                        .endpointIdentificationAlgorithm(null);
        var role = FleetRole.ROUTER.uri();
        var certificate =
                switch (stranger) {
                    case ALIEN -> sign(TestAuthority.create("alien"), FleetRole.ROUTER);
                    case WITHOUT_ROLE -> mOurs.sign(TestAuthority.valid(1));
                    case EXPIRED -> mOurs.sign(TestAuthority.valid(-1).addSanUriName(role));
                    case WITHOUT_CERTIFICATE -> null;
                };
        if (certificate != null) {
            builder.keyManager(
                    certificate.getKeyPair().getPrivate(), certificate.getCertificatePath());
        }
        return builder.build();
    }

    private static void awaitRefusal(SimpleMeterRegistry meters, String reason)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (System.nanoTime() < end) {
            var counter = meters.find("tls_peers_refused").tag("reason", reason).counter();
            if (counter != null && counter.count() == 1) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError(
                "not counted once as " + reason + ": " + meters.getMetersAsString());
    }

    private double renewals(String result) {
        return mAgentMeters.get("tls_renewals").tag("result", result).counter().count();
    }

    private String arrives(FrameConnection connection, String node) throws Exception {
        connection.send(hello(node)).get(WAIT_SECONDS, TimeUnit.SECONDS);
        var frame = mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(frame, is(notNullValue()));
        return frame.getHello().getNode();
    }

    private FrameConnection connect(FrameTransport transport) {
        return transport.connect(mAddress, new Ignorer()).join();
    }

    private NodeTls tls(String node, X509Bundle certificate, SimpleMeterRegistry meters)
            throws Exception {
        var files = TestAuthority.write(mFolder.resolve(node), certificate, mOurs);
        return NodeTls.create(Optional.of(files), Optional.empty(), Clock.SYSTEM, meters);
    }

    private void write(String node, X509Bundle certificate, TestAuthority... trusted)
            throws Exception {
        TestAuthority.write(mFolder.resolve(node), certificate, trusted);
    }

    private static X509Bundle sign(TestAuthority authority, FleetRole role) throws Exception {
        return authority.sign(TestAuthority.valid(1).addSanUriName(role.uri()));
    }

    private static FrameTransport transport(NodeTls tls) {
        return FrameTransport.create(1, tls::server, tls::client, tls::onRefused);
    }

    private static Frame hello(String node) {
        return Frame.newBuilder().setHello(Hello.newBuilder().setNode(node)).build();
    }

    private static class Ignorer implements FrameListener {
        @Override
        public void onOpen(FrameConnection connection) {}

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {}

        @Override
        public void onClosed(FrameConnection connection) {}
    }

    private final class Recorder extends Ignorer {
        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            mReceived.add(frame);
        }
    }
}
