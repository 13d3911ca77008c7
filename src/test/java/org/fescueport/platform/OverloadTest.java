package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests before replicas that say they are full, against the whole router. */
class OverloadTest {
    /** Fewer than the router takes in at all. */
    private static final int CALLERS = 18;

    /** Of both replicas together. */
    private static final int SLOTS = 16;

    private static final byte[] BODY = "whole".getBytes();

    private final Executor mCallers = Executors.newVirtualThreadPerTaskExecutor();
    private final CountDownLatch mOpen = new CountDownLatch(1);
    private final AtomicInteger mHeld = new AtomicInteger();

    /** The first answers tell of full slots; later requests are held until the test lets go. */
    private Script full(int answers) {
        var left = new AtomicInteger(answers);
        return (request, wire) -> {
            if (left.decrementAndGet() < 0) {
                mHeld.incrementAndGet();
                mOpen.await();
            }
            wire.answer(200, headersFor(request) + "Fescueport-Replica-Load: 8,30,8\r\n", BODY);
        };
    }

    @AfterEach
    void letGo() {
        mOpen.countDown();
    }

    private List<CompletableFuture<RawCaller.Answer>> askMany(Installation fleet, int many) {
        List<CompletableFuture<RawCaller.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            String text = request("POST", "/unsafe/" + i, "many-" + i, "siren");
            answers.add(CompletableFuture.supplyAsync(() -> ask(fleet, text), mCallers));
        }
        return answers;
    }

    private static RawCaller.Answer ask(Installation fleet, String text) {
        try {
            return fleet.ask(text);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void shouldSendNoMoreThanReplicasHaveRoomForAndRefuseTheRestWithWhenToComeBack()
            throws Exception {
        try (var fleet = Installation.start(full(20), STREAM)) {
            for (int i = 0; i < 20; i++) {
                fleet.ask(request("GET", "/safe/" + i, "id-" + i, ""));
            }
            var answers = askMany(fleet, CALLERS);
            long refused = 0;
            Await.pause(1_000);
            assertThat(mHeld.get(), is(lessThan(SLOTS / 2 + 1)));
            mOpen.countDown();
            for (var answer : answers) {
                if (answer.join().status() == 503) {
                    refused++;
                    assertThat(answer.join().header("Retry-After"), is(notNullValue()));
                }
            }
            assertThat(refused, is(greaterThan(CALLERS - SLOTS / 2 - 2L)));
        }
    }

    @Test
    void shouldNotSendARequestWhoseCallerHasLeftWhileItWaited() throws Exception {
        try (var fleet = Installation.start(full(20), STREAM)) {
            for (int i = 0; i < 20; i++) {
                fleet.ask(request("GET", "/safe/" + i, "id-" + i, ""));
            }
            askMany(fleet, 8);
            Await.until("replicas hold all they get", () -> isWaiting(fleet, "many-"));
            try (var caller = RawCaller.connect(fleet.router().callers())) {
                caller.send(request("POST", "/unsafe/left", "left", "siren"));
                Await.until("the request waits", () -> isWaiting(fleet, "left"));
            }
            Await.pause(60);
            mOpen.countDown();
            Await.pause(300);
            for (String replica : List.of("api-1", "api-2")) {
                assertThat(
                        fleet.replica(replica).requests().stream()
                                .anyMatch(sent -> sent.target().equals("/unsafe/left")),
                        is(false));
            }
        }
    }

    private static boolean isWaiting(Installation fleet, String request) {
        return fleet.router()
                .lines()
                .lines()
                .anyMatch(line -> line.contains("waiting") && line.contains(request));
    }

    @Test
    void shouldAnswerWhatWaitsWhenTheNodeStops() throws Exception {
        try (var fleet = Installation.start(full(20), STREAM)) {
            for (int i = 0; i < 20; i++) {
                fleet.ask(request("GET", "/safe/" + i, "id-" + i, ""));
            }
            var answers = askMany(fleet, CALLERS);
            Await.until("some are held", () -> mHeld.get() > 3);
            var stopped = fleet.router().stop();
            Await.pause(300);
            mOpen.countDown();
            for (var answer : answers) {
                int status = answer.join().status();
                assertThat(status == 200 || status == 503, is(true));
            }
            stopped.join();
        }
    }

    @Test
    void shouldServeEverybodyWhileReplicasHaveRoom() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            for (var answer : askMany(fleet, CALLERS)) {
                assertThat(answer.join().status(), is(200));
            }
        }
    }
}
