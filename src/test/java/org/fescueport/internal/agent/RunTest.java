package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Submit;
import org.junit.jupiter.api.Test;

class RunTest {
    @Test
    void shouldNotKeepTheRequestWithTheAnswerRegressionOfHeapFullOfBodies() {
        var submit =
                Submit.newBuilder()
                        .setTeam("water-board")
                        .setCreditBytes(5)
                        .setBody(ByteString.copyFromUtf8("{}"))
                        .build();
        var run =
                Run.of(
                        AttemptId.of(RequestId.of(1, 2), 1),
                        submit,
                        Span.getInvalid(),
                        9,
                        FakeConnections.open());

        run.end(Frame.getDefaultInstance(), 1);

        assertThat(run.submit().getBody().isEmpty(), is(true));
        assertThat(run.submit().getCreditBytes(), is(5));
    }
}
