package org.fescueport.internal.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class MeasuresCommandTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    void shouldLeaveNullWhatWasNotMeasured() throws IOException {
        JsonNode none = JSON.readTree("{}");

        JsonNode report = MeasuresCommand.gather(none, none, none);

        assertThat(report.path("cache_reuse").isNull(), is(true));
        assertThat(report.path("wrong_answers").isNull(), is(true));
        assertThat(report.path("added_latency_p99_ms").isNull(), is(true));
    }

    @Test
    void shouldAddUpBadAnswersOfBothRuns() throws IOException {
        JsonNode compare =
                JSON.readTree(
                        """
                        {"added_latency_p99_ms":1.5,
                        "through":{"requests_per_second":9.5,"wrong_answers":1}}""");
        JsonNode run = JSON.readTree("{\"wrong_answers\":2,\"cut_answers\":0}");
        JsonNode experiment = JSON.readTree("{\"cache_reuse\":0.9,\"skew_bound\":null}");

        JsonNode report = MeasuresCommand.gather(compare, run, experiment);

        assertThat(report.path("added_latency_p99_ms").asDouble(), is(1.5));
        assertThat(report.path("requests_per_second").asDouble(), is(9.5));
        assertThat(report.path("wrong_answers").asInt(), is(3));
        assertThat(report.path("cut_answers").asInt(), is(0));
        assertThat(report.path("cache_reuse").asDouble(), is(0.9));
        assertThat(report.path("skew_bound").isNull(), is(true));
    }

    @Test
    void shouldNameTheReuseOfEachBaseline() throws IOException {
        JsonNode none = JSON.createObjectNode();
        JsonNode experiment =
                JSON.readTree("{\"cache_reuse_baselines\":{\"random\":0.1,\"least_load\":0.2}}");

        JsonNode report = MeasuresCommand.gather(none, none, experiment);

        assertThat(report.at("/cache_reuse_baselines/least_load").asDouble(), is(0.2));
    }
}
