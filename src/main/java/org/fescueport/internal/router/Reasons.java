package org.fescueport.internal.router;

import java.util.Map;
import java.util.Set;

/** What a router makes of the reasons that agents give. */
final class Reasons {
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;

    private static final Map<String, Integer> CALLERS_FAULT =
            Map.of(
                    "invalid_request", BAD_REQUEST,
                    "not_uuid_v7", BAD_REQUEST,
                    "too_old", BAD_REQUEST,
                    "from_the_future", BAD_REQUEST,
                    "other_team", CONFLICT,
                    "other_content", CONFLICT,
                    "poison", UNPROCESSABLE);

    /** Reasons that any other agent would give as well. */
    private static final Set<String> SAME_EVERYWHERE =
            Set.of("log_unavailable", "log_slow", "begun_before", "answer_not_kept", "suspect");

    private static final Set<String> BUSY =
            Set.of(
                    "load_bound",
                    "queue_full",
                    "displaced",
                    "deadline",
                    "leaving",
                    "overloaded",
                    "answers_full",
                    "backend_down",
                    "not_serving");

    private static final Set<String> FOR_LOAD = Set.of("load_bound", "queue_full", "deadline");

    private static final Set<String> BACKEND_FAILURES =
            Set.of("backend_unreachable", "backend_lost", "backend_down");

    private Reasons() {}

    /** Returns whether another attempt would meet the same refusal. */
    static boolean isFinal(String reason) {
        return CALLERS_FAULT.containsKey(reason) || SAME_EVERYWHERE.contains(reason);
    }

    /**
     * Returns whether the agent refused at once and cheaply, so that the next rank may be asked.
     */
    static boolean isBusy(String reason) {
        return BUSY.contains(reason);
    }

    /** Returns whether the refusal tells that the replica's load is too high for the request. */
    static boolean isForLoad(String reason) {
        return FOR_LOAD.contains(reason);
    }

    /** Returns whether the reason tells of a backend server that fails. */
    static boolean isBackendFailure(String reason) {
        return BACKEND_FAILURES.contains(reason);
    }

    /** Returns whether the request itself is at fault. */
    static boolean isCallersFault(String reason) {
        return CALLERS_FAULT.containsKey(reason);
    }

    static int statusOf(String reason) {
        return CALLERS_FAULT.get(reason);
    }
}
