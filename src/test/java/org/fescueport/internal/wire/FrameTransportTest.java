package org.fescueport.internal.wire;

import java.net.ServerSocket;
import java.util.Optional;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.platform.FreePorts;
import org.junit.jupiter.api.RepeatedTest;

class FrameTransportTest {
    @RepeatedTest(100)
    void shouldFreeItsAddressWhenItIsClosed() throws Exception {
        var address = FreePorts.next();
        var transport = FrameTransport.create(2, Optional::empty, Optional::empty, refused -> {});
        transport.listen(address, new IgnoringListener());

        transport.close();

        new ServerSocket(address.getPort(), 1, address.getAddress()).close();
    }

    private static final class IgnoringListener implements FrameListener {
        @Override
        public void onOpen(FrameConnection connection) {
            // Nobody connects in these tests.
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            // Nobody connects in these tests.
        }

        @Override
        public void onClosed(FrameConnection connection) {
            // Nobody connects in these tests.
        }
    }
}
