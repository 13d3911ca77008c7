package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A request of 1,500 tokens and replicas whose memory the configuration states in several ways. */
class ReplicaMemoryTest {
    private static Script answering(String load) {
        return (request, wire) -> {
            String headers = headersFor(request) + "Fescueport-Replica-Load: " + load + "\r\n";
            wire.answer(200, headers, "whole".getBytes());
        };
    }

    private static String prompt(String path, String tokens) {
        return request("POST", path, "id-1", "x")
                .replace(
                        "Authorization:",
                        "Fescueport-Model: m\r\nFescueport-Token-Usage: "
                                + tokens
                                + "\r\nAuthorization:");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "{'kv_capacity':1499}; 1,0,8,100; 503; false",
                "{'kv_capacity':1500}; 1,0,8,100; 200; false",
                "{'kv_capacity':1499}; 1,0,8;     200; false",
                "{};                   1,0,8,100; 200; false",
                "{'kv_capacity':0};    1,0,8,100; 200; true",
                "{'kv_capacity':-5};   1,0,8,100; 200; true",
                "{'kv_capacity':1};    1,0,8,100; 200; true",
                "{'kv_capacity':'x'};  1,0,8,100; 200; true",
                "{'kv_capacity':1e30}; 1,0,8,100; 200; true",
                "7;                    1,0,8,100; 200; true",
            },
            quoteCharacter = '`')
    void shouldRefuseARequestThatIsLargerThanAReplicasMemory(
            String engine, String load, int status, boolean unusable) throws Exception {
        var script = answering(load);
        try (var fleet = Installation.start(script, script)) {
            fleet.store().configure(configuration(engine.replace('\'', '"')));
            Await.until(
                    "the configuration is in force",
                    () -> fleet.router().lines().contains("\"version\":2"));
            assertThat(fleet.ask(prompt("/once/x", "10,5")).status(), is(200));
            assertThat(fleet.ask(prompt("/once/x", "1400,100")).status(), is(status));
            assertThat(fleet.arrivals("llm"), is(status == 200 ? 2 : 1));
            assertThat(fleet.router().meter("fescue.unusable.memories") > 0, is(unusable));
            // Lines are written in the background, in order.
            Await.until("both requests have ended", () -> ends(fleet) == 2);
            String lines = fleet.router().lines();
            assertThat(lines.contains("replica-memory-unusable"), is(unusable));
            String reason = "larger than the memory of a replica of llm";
            assertThat(lines.contains(reason), is(status != 200));
        }
    }

    private static long ends(Installation fleet) {
        return fleet.router().lines().lines().filter(l -> l.contains("\"ended\"")).count();
    }

    private static String configuration(String engine) {
        return Installation.configuration(2)
                .replace("{\"name\":\"llm\"", "{\"engine\":" + engine + ",\"name\":\"llm\"");
    }
}
