package org.fescueport.internal.load.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SoakAuditTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String METRICS = "# TYPE x counter\nfescue_invariant_violations_total ";

    private final SoakAudit mAudit = new SoakAudit();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'a':1,'b':1} | {}                                  | 0 | none",
                "{'a':2}       | {}                                  | 0 | duplicate_runs",
                "{'a':1}       | {'never_run':['a']}                 | 0 | false_not_run",
                "{'a':1}       | {'never_run':['b']}                 | 0 | none",
                "{}            | {'wrong_answers':1}                 | 0 | wrong_answers",
                "{}            | {'cut_answers':1}                   | 0 | cut_answers",
                "{}            | {}                                  | 1 | invariant_violations",
                "{} | {'lost_connections':[{'at':5000,'router':'r'}]} | 0 | none",
                "{} | {'lost_connections':[{'at':5000,'router':'s'}]} | 0 | cut_answers",
                "{} | {'lost_connections':[{'at':9000,'router':'r'}]} | 0 | cut_answers"
            })
    void shouldTellWhichGuaranteeWasBroken(
            String runs, String seen, String violations, String expected)
            throws JsonProcessingException {
        mAudit.addRuns(json(runs));
        mAudit.addMetrics(METRICS + violations + ".0\n");
        var report = mAudit.report(json(seen), List.of(new SoakAudit.Kill(4500, "r")));
        assertThat(SoakAudit.hasFaults(report), is(!expected.equals("none")));
        if (!expected.equals("none")) {
            assertThat(report.path(expected).asInt(), is(1));
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "2"})
    void shouldAddUpRunsOfAllLives(int lives) throws JsonProcessingException {
        for (int i = 0; i < lives; i++) {
            mAudit.addRuns(json("{'a':1}"));
        }
        var report = mAudit.report(json("{}"), List.of());
        assertThat(report.path("duplicate_runs").asInt(), is(lives - 1));
    }

    private static JsonNode json(String text) throws JsonProcessingException {
        return JSON.readTree(text.replace('\'', '"'));
    }
}
