package org.fescueport.internal.load;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.http.ResponseStream;
import org.fescueport.internal.load.LoadRecorder.Ending;
import org.fescueport.internal.standin.engine.KnownAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadRunnerTest {
    private static final int MAX_TOKENS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final AtomicInteger mReturned = new AtomicInteger();
    private HttpServer mServer;

    @AfterEach
    void stop() {
        mServer.close();
    }

    @ParameterizedTest
    @CsvSource({
        "WHOLE, 100",
        "WHOLE, 0",
        "CUT, 100",
        "WRONG, 100",
        "WRONG, 0",
        "REFUSED, 100",
        "CUT, 0"
    })
    void shouldTellHowAnswersEnded(Ending ending, int streamPercent) throws InterruptedException {
        mServer =
                HttpServer.start(
                        HttpServerSettings.of("127.0.0.1", 0),
                        exchange -> answer(exchange, ending));
        URI url = URI.create("http://127.0.0.1:" + mServer.port());

        LoadRunner.Result result =
                LoadRunner.run(
                        profile(streamPercent), List.of(new LoadRunner.Target(List.of(url))));

        LoadRecorder recorder = result.recorders().get(0);
        assertThat(recorder.count(ending), greaterThan(20L));
        for (Ending other : Ending.values()) {
            assertThat(other == ending || recorder.count(other) == 0, is(true));
        }
        assertThat(mReturned.get() > 0, is(ending == Ending.WHOLE));
    }

    private static LoadProfile profile(int streamPercent) {
        return new LoadProfile(
                List.of("a", "b"),
                List.of("m"),
                100,
                1,
                0,
                80,
                20,
                8,
                4,
                MAX_TOKENS,
                streamPercent,
                new LoadProfile.Surge(1, 0),
                7);
    }

    private void answer(HttpExchange exchange, Ending ending) {
        if (exchange.header("Fescue-Ticket").equals("ticket")) {
            mReturned.incrementAndGet();
        }
        if (ending == Ending.REFUSED) {
            JsonError.respond(exchange, 429, "overloaded", "not run");
            return;
        }
        JsonNode request = read(exchange.body());
        JsonNode messages = request.path("messages");
        String question = messages.path(messages.size() - 1).path("content").asText();
        String text = KnownAnswer.textFor(question, MAX_TOKENS);
        if (ending == Ending.WRONG) {
            text = text.toUpperCase(Locale.ROOT);
        }
        if (request.path("stream").asBoolean()) {
            stream(exchange, text, ending);
        } else {
            whole(exchange, text, ending);
        }
    }

    private static void stream(HttpExchange exchange, String text, Ending ending) {
        ResponseStream body =
                exchange.stream(
                        200,
                        Map.of("Content-Type", "text/event-stream", "Fescue-Ticket", "ticket"));
        String chunk = "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
        body.write(chunk.getBytes(UTF_8));
        if (ending != Ending.CUT) {
            body.write("data: [DONE]\n\n".getBytes(UTF_8));
        }
        body.end();
    }

    private static void whole(HttpExchange exchange, String text, Ending ending) {
        String json = "{\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}";
        Map<String, String> headers =
                Map.of("Content-Type", "application/json", "Fescue-Ticket", "ticket");
        String sent = ending == Ending.CUT ? json.substring(0, json.length() / 2) : json;
        exchange.respond(200, headers, sent.getBytes(UTF_8));
    }

    private static JsonNode read(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
