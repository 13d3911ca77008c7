package org.fescueport.platform.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.fescueport.platform.Await;
import org.fescueport.platform.FreePorts;
import org.fescueport.platform.Installation;
import org.fescueport.platform.RawCaller;
import org.fescueport.platform.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process whose memory is smaller than all entries of the list together. */
class LargeEntriesTest {
    private static final int ENTRIES = 400;
    private static final int ENTRY_BYTES = 250_000;
    private static final int PAGE_SIZE = 3;
    private static final long START_LIMIT_MS = 60_000;

    @TempDir private Path mFolder;

    @Test
    void shouldBecomeReadyWhileTheListHoldsManyLargeEntries() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.configure(Installation.configuration(1));
            byte[] large = new byte[ENTRY_BYTES];
            for (int i = 0; i < ENTRIES; i++) {
                store.append("keyed.servers", "x-" + i, large);
            }
            store.pages(PAGE_SIZE, 0);
            var control = FreePorts.next();
            try (var edge =
                    new EdgeProcess("edge-0", mFolder, store.address(), control, List.of())) {
                edge.start();
                Await.until(
                        "ready or ended", START_LIMIT_MS, () -> isReady(edge) || !edge.isAlive());
                assertThat(edge.lines(), edge.isAlive(), is(true));
            }
        }
    }

    private static boolean isReady(EdgeProcess edge) {
        try (var caller = RawCaller.connect(edge.ready())) {
            caller.send("GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
            return caller.receive().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
