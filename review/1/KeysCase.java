package review;

import java.util.List;

/** All keys of the only tenant are taken away; a request without a known key must get 401. */
public final class KeysCase {
    private static final String FIRST_KEY = "k3ywq0mz81hhtv5d2rna";
    private static final String SECOND_KEY = "p9xct4bbe67ujs0fgk1l";
    private static final String NO_KEY_EVER = "zzzz0000zzzz0000zzzz";

    private KeysCase() {}

    /** Plays the case. */
    public static void main(String[] arguments) throws Exception {
        Stage.main(arguments[0], KeysCase::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Record record = stage.record();
        Store store = stage.started(new Store());
        configure(store, 7, List.of(FIRST_KEY, SECOND_KEY));
        for (int i = 1; i <= 2; i++) {
            stage.started(
                            new Replica(
                                    "i-desk" + i,
                                    "desk",
                                    store,
                                    record,
                                    Replica.plain(20),
                                    (replica, request) -> {}))
                    .register();
        }
        Router router = stage.router("edge-1", store.port(), List.of()).start().awaitReady();
        Caller connected = stage.started(new Caller(router.frontend()));
        boolean sound =
                ask(record, connected, "before-1", FIRST_KEY) == 200
                        && ask(record, connected, "before-2", SECOND_KEY) == 200
                        && ask(record, connected, "before-3", NO_KEY_EVER) == 401
                        && ask(record, connected, "before-4", "") == 401;
        if (!sound) {
            throw new IllegalStateException("keys are not checked before the disruption either");
        }
        if (stage.trouble()) {
            configure(store, 9, List.of(SECOND_KEY));
            record.line("the operator takes the first key away: version 9 acknowledged");
            Thread.sleep(1_500);
            configure(store, 12, List.of());
            record.line("the operator takes the second key away: version 12 acknowledged");
        }
        Thread.sleep(5_000);
        int broken = 0;
        for (int i = 0; i < 5; i++) {
            broken += isWrong(ask(record, connected, "never-" + i, NO_KEY_EVER)) ? 1 : 0;
            broken += isWrong(ask(record, connected, "none-" + i, "")) ? 1 : 0;
            if (stage.trouble()) {
                broken += isWrong(ask(record, connected, "first-" + i, FIRST_KEY)) ? 1 : 0;
                broken += isWrong(ask(record, connected, "second-" + i, SECOND_KEY)) ? 1 : 0;
            }
            Thread.sleep(200);
        }
        record.say("requests run without a key that is in force: %d", broken);
        return broken > 0;
    }

    private static boolean isWrong(int status) {
        return status == 200;
    }

    private static void configure(Store store, int version, List<String> keys) {
        var tenant = new Config.Tenant("harbour-office", keys);
        store.put("keyed.op", "config", Config.text(version, List.of(tenant)));
    }

    private static int ask(Record record, Caller caller, String id, String key) throws Exception {
        record.line("sent GET /read/1 id=%s key=%s", id, key.isEmpty() ? "(none)" : key);
        var answer = caller.ask(Caller.request("GET", "/read/1", id, key, 1_500, ""));
        record.line("answered %s: %s", id, answer.firstLine());
        return answer.status();
    }
}
