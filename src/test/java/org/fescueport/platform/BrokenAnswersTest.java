package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.firstThen;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.testing.BrokenResponse;
import org.fescueport.testing.SoundResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against broken answers of replicas that reach callers as answers (issue 55). */
class BrokenAnswersTest {
    /** Some that a lenient decoder takes for sound ones; the whole table is tested elsewhere. */
    private static final String REPAIRED_BY_LENIENT_DECODERS =
            "STATUS_(000|600|OF_FOUR_DIGITS)|(BLANK|TAB|CONTROL)_IN_NAME"
                    + "|(LENGTH|CODING)_BEFORE_BLANK_IN_NAME|STATUS_LINE_IN_VALUE";

    private static Script writing(BrokenResponse response) {
        return (request, wire) -> wire.write(response.bytes(headersFor(request)));
    }

    @ParameterizedTest
    @EnumSource(names = REPAIRED_BY_LENIENT_DECODERS, mode = EnumSource.Mode.MATCH_ANY)
    void shouldNotForwardBrokenResponse(BrokenResponse response) throws Exception {
        for (String path : List.of("/unsafe/x", "/once/x")) {
            try (var fleet = Installation.start(writing(response), writing(response))) {
                assertThat(fleet.ask(post(path, "siren")).status(), is(502));
                assertThat(fleet.arrivals("api") + fleet.arrivals("llm"), is(1));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(names = REPAIRED_BY_LENIENT_DECODERS, mode = EnumSource.Mode.MATCH_ANY)
    void shouldAskAnotherReplicaAfterBrokenResponse(BrokenResponse response) throws Exception {
        try (var fleet = Installation.start(firstThen(writing(response), GOOD), GOOD)) {
            var answer = fleet.ask(get("/safe/x"));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is("whole"));
            assertThat(fleet.arrivals("api"), is(2));
        }
    }

    @Test
    void shouldForwardEachCharacterOfAValue() throws Exception {
        Script script =
                (request, wire) ->
                        wire.write(
                                SoundResponse.VALUE_OF_ALL_CHARACTERS.bytes(headersFor(request)));
        try (var fleet = Installation.start(script, script);
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(get("/safe/x"));
            String head = caller.receiveBytesThrough("\r\n\r\n");
            String line = SoundResponse.VALUE_OF_ALL_CHARACTERS.line("X-Probe: ");
            assertThat(head, containsString("\r\n" + line + "\r\n"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/", "/safe/", "/once/", "/stream/"})
    void shouldForwardSoundResponses(String route) throws Exception {
        Script sound =
                (request, wire) -> {
                    var response = SoundResponse.valueOf(request.target().split("/")[2]);
                    wire.write(response.bytes(headersFor(request)));
                };
        try (var fleet = Installation.start(sound, sound)) {
            for (var response : SoundResponse.values()) {
                var answer = fleet.ask(get(route + response));
                assertThat(response.name(), answer.status(), is(response.status()));
                assertThat(response.name(), answer.body(), is(response.body()));
                assertThat(response.name(), answer.complete(), is(true));
            }
        }
    }

    /** More than agents read (8,189 bytes in a line, 100 fields): 20,000 bytes, and 200 fields. */
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/safe/x", "/once/x", "/stream/x"})
    void shouldForwardLongHeads(String path) throws Exception {
        String value = "a".repeat(20_000);
        for (String lines : List.of("X-Long: " + value + "\r\n", "X-Long: 1\r\n".repeat(200))) {
            Script longHead =
                    (request, wire) ->
                            wire.write(SoundResponse.LENGTH.bytes(headersFor(request) + lines));
            try (var fleet = Installation.start(longHead, longHead)) {
                var answer = fleet.ask(get(path));
                assertThat(answer.status(), is(200));
                assertThat(answer.body(), is("whole"));
                assertThat(answer.header("X-Long"), is(lines.contains(value) ? value : "1"));
            }
        }
    }

    @Test
    void shouldTellWhyBytesAreNoAnswer() throws Exception {
        Script broken = writing(BrokenResponse.STATUS_000);
        try (var fleet = Installation.start(broken, broken)) {
            String reason = "bytes that are no answer: a status other than three digits";
            assertThat(fleet.ask(post("/unsafe/x", "siren")).body(), containsString(reason));
        }
    }

    /** Interim answers and answers to other requests must not become a way round the check. */
    @Test
    void shouldCheckAnswersToOtherRequestsToo() throws Exception {
        Script broken =
                (request, wire) -> {
                    String other = "Fescueport-Attempt-Id: other\r\n";
                    wire.write(BrokenResponse.STATUS_000.bytes(other));
                    wire.write(SoundResponse.LENGTH.bytes(headersFor(request)));
                };
        try (var fleet = Installation.start(broken, broken)) {
            assertThat(fleet.ask(post("/unsafe/x", "siren")).status(), is(502));
            assertThat(fleet.arrivals("api"), is(1));
        }
    }
}
