package org.fescueport.platform.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EdgeProcessTest {
    @TempDir private Path mFolder;

    @Test
    void shouldNotLeaveAProcessThatIsStartedBehindItsEnd() throws Exception {
        var address = EdgeProcess.freeAddress();
        var edge = new EdgeProcess("edge-0", mFolder, address, address, List.of());
        edge.start();
        edge.close();
        edge.start();
        boolean left = edge.isAlive();
        edge.kill();
        assertThat(left, is(false));
    }
}
