package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.standin.engine.KnownAnswer;

/** Steps of callers that chat with a model. */
public final class ChatSteps {
    static final String KEY = "Bearer demo-water-key";
    private static final String QUESTION = "How full is the reservoir of Chixoy today? ".repeat(8);
    private static final int CHARACTERS_PER_TOKEN = 6;
    private static final int STOP_SECONDS = 30;

    /** One caller: what was asked and what has come of it. */
    private record Caller(String question, int tokens, ChatStream answer) {}

    private final List<Caller> mCallers = new ArrayList<>();
    private Caller mCaller;

    @When("a caller asks for {int} tokens through router {int}")
    public void ask(int tokens, int router) throws InterruptedException {
        var question = QUESTION + mCallers.size();
        var messages = Http.JSON.createArrayNode();
        messages.addObject().put("role", "user").put("content", question);
        var request = request(router, "chat-" + mCallers.size(), "", tokens, messages.toString());
        mCaller = new Caller(question, tokens, ChatStream.start(request));
        mCallers.add(mCaller);
    }

    @When("{int} callers ask for {int} tokens through router {int}")
    public void askMany(int callers, int tokens, int router) throws InterruptedException {
        for (int i = 0; i < callers; i++) {
            ask(tokens, router);
        }
    }

    @When("{int} tokens have arrived")
    public void arrived(int tokens) throws InterruptedException {
        for (var caller : mCallers) {
            caller.answer().awaitText(tokens * CHARACTERS_PER_TOKEN);
            assertThat("no error so far", caller.answer().error(), is(""));
        }
    }

    @When("the engine that answers is killed")
    public void killEngine() throws InterruptedException {
        answering().engine().kill();
    }

    @When("the agent of that engine is killed")
    public void killAgent() throws InterruptedException {
        answering().agent().kill();
    }

    @When("the agent that answered is told to stop")
    public void stopAgent() {
        answering().agent().terminate();
    }

    @Then("that agent ends by itself")
    public void agentEnds() throws InterruptedException {
        answering().agent().awaitExit(STOP_SECONDS);
    }

    @When("the agent of that engine is frozen for {int} seconds")
    public void freezeAgent(int seconds) throws InterruptedException {
        var agent = answering().agent();
        agent.freeze();
        TimeUnit.SECONDS.sleep(seconds);
        agent.wake();
    }

    @When("the caller goes on at router {int} from its last event")
    public void goOn(int router) throws InterruptedException {
        var answer = mCaller.answer();
        answer.awaitEnd();
        assertThat("the connection was lost before the end", answer.isDone(), is(false));
        var headers = new HashMap<String, String>();
        headers.put("Authorization", KEY);
        headers.put("Last-Event-ID", answer.lastEventId());
        headers.put("Fescue-Resume-Token", answer.header("Fescue-Resume-Token"));
        var path = "/v1/answers/" + answer.header("Fescue-Request");
        var url = FleetSteps.fleet().router(router).url() + path;
        answer.continueWith(Http.request("GET", url, "", headers));
    }

    @Then("the answer is whole")
    public void isWhole() throws InterruptedException {
        assertWhole(mCaller);
    }

    @Then("all answers are whole")
    public void areWhole() throws InterruptedException {
        for (var caller : mCallers) {
            assertWhole(caller);
        }
    }

    @Then("the caller returns through router {int} to the same replica, its prompt cached")
    public void comeBack(int router) throws InterruptedException {
        assertThat(comeBackCached(router), is(mCaller.answer().header("Fescue-Replica")));
    }

    @Then("the caller returns through router {int} to another replica, its prompt cached")
    public void comeBackElsewhere(int router) throws InterruptedException {
        assertThat(comeBackCached(router), is(not(mCaller.answer().header("Fescue-Replica"))));
    }

    /** Returns the replica that answered the next turn. */
    private String comeBackCached(int router) throws InterruptedException {
        var first = mCaller.answer();
        var messages = Http.JSON.createArrayNode();
        messages.addObject().put("role", "user").put("content", mCaller.question());
        messages.addObject().put("role", "assistant").put("content", first.text());
        messages.addObject().put("role", "user").put("content", "And tomorrow?");
        var ticket = first.header("Fescue-Ticket");
        var again = ChatStream.start(request(router, "chat-0", ticket, 10, messages.toString()));
        assertWhole(new Caller("And tomorrow?", 10, again));
        int cached = again.usage().at("/prompt_tokens_details/cached_tokens").asInt();
        assertThat("cached tokens", cached, is(greaterThan(0)));
        return again.header("Fescue-Replica");
    }

    @Then("{word} gets none of {int} new chats")
    public void getsNone(String name, int chats) throws InterruptedException {
        var vm = FleetSteps.fleet().vm(name);
        long before = FleetSteps.requestsOf(vm);
        int routers = FleetSteps.fleet().routers().size();
        for (int i = 0; i < chats; i++) {
            ask(2, 1 + i % routers);
        }
        areWhole();
        assertThat("requests at " + name, FleetSteps.requestsOf(vm), is(before));
    }

    private Fleet.Vm answering() {
        var replica = mCaller.answer().header("Fescue-Replica");
        assertThat("a replica answers", replica, is(not("")));
        return FleetSteps.fleet().vm(replica);
    }

    private static void assertWhole(Caller caller) throws InterruptedException {
        var answer = caller.answer();
        answer.awaitEnd();
        assertThat("error", answer.error(), is(""));
        assertThat(
                "text", answer.text(), is(KnownAnswer.textFor(caller.question(), caller.tokens())));
        assertThat("the end of the answer was told", answer.isDone(), is(true));
    }

    private static HttpRequest request(
            int router, String chat, String ticket, int tokens, String messages) {
        var body = Http.JSON.createObjectNode();
        body.put("model", Fleet.MODEL).put("stream", true).put("max_tokens", tokens);
        body.set("messages", Http.json(messages));
        var headers = new HashMap<>(Map.of("Authorization", KEY, "Fescue-Chat", chat));
        if (!ticket.isEmpty()) {
            headers.put("Fescue-Ticket", ticket);
        }
        var url = FleetSteps.fleet().router(router).url() + "/v1/chat/completions";
        return Http.request("POST", url, body.toString(), headers);
    }
}
