package org.fescueport.platform;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.RepeatedTest;

class TestRouterTest {
    @RepeatedTest(20)
    void shouldFreeItsAddressesWhenItIsClosed() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.configure(Installation.configuration(1));
            var router = TestRouter.start("edge-1", store.address()).awaitReady();
            router.close();
            for (var address : List.of(router.callers(), router.admin(), router.peers())) {
                listen(address);
            }
        }
    }

    private static void listen(InetSocketAddress address) throws Exception {
        new ServerSocket(address.getPort(), 1, address.getAddress()).close();
    }
}
