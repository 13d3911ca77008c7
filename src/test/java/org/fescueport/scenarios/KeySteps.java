package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Steps on the keys that sign tickets and tokens. */
public final class KeySteps {
    private static final String KEY_1 = "1:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY\n";
    private static final String KEY_2 = "2:ZmVkY2JhOTg3NjU0MzIxMGZlZGNiYTk4NzY1NDMyMTA\n";
    private static final int PUBLISH_SECONDS = 30;

    private Path mFolder;

    @Given("a fleet of {int} router(s), {int} engine(s) and {int} service(s) with a file of keys")
    public void start(int routers, int engines, int services)
            throws InterruptedException, IOException {
        mFolder = Files.createTempDirectory("fescue-keys");
        Files.writeString(file(), KEY_1);
        FleetSteps.start(
                new Fleet.Size(routers, engines, services, false, false),
                node -> List.of(Fleet.TOKEN_KEYS_FILE, file().toString()),
                Optional.empty());
    }

    @When("key 2 is added to the file of keys")
    public void addKey() throws IOException {
        Files.writeString(file(), KEY_1 + KEY_2);
    }

    @When("it is published that key 2 signs and key 1 is accepted for {int} seconds")
    public void publish(int seconds) throws IOException, InterruptedException {
        var text =
                """
                schema: 1
                kind: tokenKeys
                name: token-keys
                signs: 2
                accepted:
                  1: %s
                """;
        var declaration = mFolder.resolve("keys.fescue.yaml");
        Files.writeString(declaration, text.formatted(Instant.now().plusSeconds(seconds)));
        var publisher = FleetSteps.fleet().publish(declaration);
        assertThat("published", publisher.awaitExit(PUBLISH_SECONDS), is(0));
        for (var admin : FleetSteps.fleet().admins().values()) {
            Metrics.await(admin, "token_key_signing 2\\.0");
        }
    }

    private Path file() {
        return mFolder.resolve("keys");
    }
}
