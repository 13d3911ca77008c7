package org.fescueport.internal.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.ReplicaActivity;
import org.fescueport.internal.wire.generated.ReplicaReport;
import org.fescueport.internal.wire.generated.Reply;
import org.junit.jupiter.api.Test;

/** Bytes of what placement and membership send, from the codec, without TCP's own. */
class ControlBytesTest {
    private static final int LENGTH_PREFIX_BYTES = 1;
    private static final long MANY_CALLS = 100_000;

    @Test
    void shouldAskForAReplicaInFewBytes() {
        var call = Call.newBuilder().setId(MANY_CALLS).setMethod(PeerCalls.REPLICA);
        var report =
                ReplicaReport.newBuilder()
                        .setActivity(ReplicaActivity.REPLICA_LOADING)
                        .setArtifact("basin-summaries-2026-12-04");
        var reply = Reply.newBuilder().setId(MANY_CALLS).setPayload(report.build().toByteString());
        int asked = bytes(Frame.newBuilder().setCall(call).build());
        int told = bytes(Frame.newBuilder().setReply(reply).build());
        System.out.println("a replica is asked in " + asked + " B and tells in " + told + " B");
        assertThat(asked + told, lessThanOrEqualTo(64));
    }

    @Test
    void shouldTellThatAnEngineServesNothingInFewBytes() {
        var hello =
                Hello.newBuilder()
                        .setNode("engine-1234")
                        .setIncarnation(Long.MAX_VALUE)
                        .setFailureDomain("gt-central-1")
                        .setConfigVersion(MANY_CALLS)
                        .setServesNothing(true);
        int told = bytes(Frame.newBuilder().setHello(hello).build());
        System.out.println("a hello has " + told + " B");
        assertThat(told, lessThanOrEqualTo(64));
    }

    private static int bytes(Frame frame) {
        return LENGTH_PREFIX_BYTES + frame.getSerializedSize();
    }
}
