package org.fescueport.platform.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.platform.FreePorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EdgeProcessTest {
    @TempDir private Path mFolder;

    @Test
    void shouldNotLeaveAProcessThatIsStartedBehindItsEnd() throws Exception {
        var address = FreePorts.next();
        var edge = new EdgeProcess("edge-0", mFolder, address, address, List.of());
        edge.start();
        edge.close();
        edge.start();
        boolean left = edge.isAlive();
        edge.kill();
        assertThat(left, is(false));
    }

    @Test
    void shouldSayInOneLineWhichAddressIsInUseAndEnd() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (var holder = new ServerSocket(0, 1, loopback)) {
            var taken = (InetSocketAddress) holder.getLocalSocketAddress();
            try (var edge = new EdgeProcess("edge-0", mFolder, taken, taken, List.of())) {
                edge.start();
                assertThat(edge.await(10), is(ExitCode.CANNOT_START));
                String line = edge.lines().lines().reduce((first, last) -> last).orElse("");
                assertThat(line, containsString("Cannot listen on"));
                assertThat(line, containsString(Integer.toString(taken.getPort())));
                assertThat(line, containsString("set another one"));
            }
        }
    }
}
