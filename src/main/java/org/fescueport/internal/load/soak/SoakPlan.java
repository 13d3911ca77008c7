package org.fescueport.internal.load.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A schedule of faults and planned stops for one fleet, ending with a rolling replacement of all of
 * it. A pure function of its seed; a script carries it out.
 *
 * <pre>{@code
 * SoakPlan.of(1, 60_000, fleet).forEach(System.out::println);
 * }</pre>
 */
final class SoakPlan {
    /** What is done to a target. */
    enum Action {
        /** Ends a process at once. */
        KILL,
        /** Starts the replacement of a killed process; the detail tells the address. */
        START,
        FREEZE,
        THAW,
        /** Tells a node to stop and replaces it once it has ended. */
        STOP,
        /** Switches a fault of a stand-in; the detail is the change as JSON. */
        FAULT,
        /** Replaces a router, or a backend server with its agent, after all earlier ones. */
        ROLL
    }

    /** One line of the plan. */
    record Step(long atMillis, Action action, String target, String detail) {
        @Override
        public String toString() {
            String name = action.name().toLowerCase(Locale.ROOT);
            return (atMillis + " " + name + " " + target + " " + detail).strip();
        }
    }

    /** Names of the fleet's processes; the agent of {@code x} is {@code agent-x}. */
    record Fleet(List<String> routers, List<String> engines, List<String> services) {
        Fleet {
            routers = List.copyOf(routers);
            engines = List.copyOf(engines);
            services = List.copyOf(services);
        }
    }

    private static final long QUIET_START_MILLIS = 2000;
    private static final double FAULTS_SHARE = 0.6;
    private static final double ROLL_SHARE = 0.7;
    private static final int MOST_AT_ONCE = 2;
    private static final int TOGETHER_PERCENT = 25;
    private static final int SAME_ADDRESS_PERCENT = 50;

    /** Time for a replaced process to be of use again. */
    private static final long RECOVERY_MILLIS = 5000;

    private final SplittableRandom mRandom;
    private final Fleet mFleet;
    private final List<Step> mSteps = new ArrayList<>();
    private final Map<String, Long> mBusyUntil = new HashMap<>();

    private SoakPlan(long seed, Fleet fleet) {
        mRandom = new SplittableRandom(seed);
        mFleet = fleet;
    }

    /** Returns the steps in the order of their times. */
    static List<Step> of(long seed, long millis, Fleet fleet) {
        var plan = new SoakPlan(seed, fleet);
        plan.addFaults((long) (millis * FAULTS_SHARE));
        plan.addRoll((long) (millis * ROLL_SHARE));
        plan.mSteps.sort(Comparator.comparingLong(Step::atMillis));
        return List.copyOf(plan.mSteps);
    }

    private void addFaults(long end) {
        long at = QUIET_START_MILLIS;
        while (at < end) {
            addFault(at);
            at += mRandom.nextInt(100) < TOGETHER_PERCENT ? 0 : between(500, 4000);
        }
    }

    private void addRoll(long at) {
        mFleet.routers().forEach(router -> add(at, Action.ROLL, router, ""));
        mFleet.engines().forEach(engine -> add(at, Action.ROLL, engine, ""));
        mFleet.services().forEach(service -> add(at, Action.ROLL, service, ""));
    }

    private void addFault(long at) {
        switch (mRandom.nextInt(8)) {
            case 0, 1 -> kill(at);
            case 2, 3 -> freeze(at);
            case 4 -> stop(at);
            case 5 -> logFault(at);
            case 6 -> vmsFault(at);
            default -> backendFault(at);
        }
    }

    private void kill(long at) {
        String target = pickNode(at);
        if (target.isEmpty()) {
            return;
        }
        long back = at + between(0, 3000);
        boolean isSame = mRandom.nextInt(100) < SAME_ADDRESS_PERCENT;
        occupy(target, back + RECOVERY_MILLIS);
        add(at, Action.KILL, target, "");
        add(back, Action.START, target, isSame ? "same" : "new");
    }

    private void freeze(long at) {
        String target = pickNode(at);
        if (!target.isEmpty()) {
            long back = at + between(200, 4000);
            occupy(target, back + 500);
            add(at, Action.FREEZE, target, "");
            add(back, Action.THAW, target, "");
        }
    }

    private void stop(long at) {
        String target = pickNode(at);
        if (target.startsWith("router") || target.startsWith("agent")) {
            occupy(target, at + 2 * RECOVERY_MILLIS);
            add(at, Action.STOP, target, "");
        }
    }

    private void logFault(long at) {
        switch (mRandom.nextInt(3)) {
            case 0 -> fault(at, "log", "outage", "true", "false", 5000);
            case 1 -> fault(at, "log", "slowMillis", "" + between(300, 2500), "0", 4000);
            default -> fault(at, "log", "loseAnswersAfterEffect", "0.5", "0", 4000);
        }
    }

    private void vmsFault(long at) {
        if (mRandom.nextBoolean()) {
            fault(at, "vms", "outage", "true", "false", 5000);
        } else {
            fault(at, "vms", "lagMillis", "" + between(1000, 5000), "0", 8000);
        }
    }

    private void backendFault(long at) {
        if (mRandom.nextBoolean()) {
            String engine = pick(mFleet.engines());
            if (mRandom.nextBoolean()) {
                fault(at, engine, "freeze", "true", "false", 3000);
            } else {
                fault(at, engine, "slowMillis", "" + between(10, 80), "0", 4000);
            }
        } else if (mRandom.nextBoolean()) {
            fault(at, pick(mFleet.services()), "delayMillis", "" + between(200, 2500), "0", 4000);
        } else {
            add(at, Action.FAULT, pick(mFleet.services()), "{\"loseNextAnswers\":2}");
        }
    }

    private void fault(long at, String target, String name, String on, String off, int most) {
        String slot = target + " " + name;
        if (mBusyUntil.getOrDefault(slot, 0L) > at) {
            return;
        }
        long end = at + between(300, most);
        occupy(slot, end);
        add(at, Action.FAULT, target, "{\"" + name + "\":" + on + "}");
        add(end, Action.FAULT, target, "{\"" + name + "\":" + off + "}");
    }

    /** Returns a process that may fail now, or nothing when enough of them fail already. */
    private String pickNode(long at) {
        var names = new ArrayList<String>(mFleet.routers());
        for (var backend : allBackends()) {
            names.add(backend);
            names.add("agent-" + backend);
        }
        String target = pick(names);
        long busy = names.stream().filter(name -> isBusy(name, at)).count();
        boolean isRouter = mFleet.routers().contains(target);
        boolean isLastRouter =
                isRouter && mFleet.routers().stream().anyMatch(name -> isBusy(name, at));
        boolean isAllowed = busy < MOST_AT_ONCE && !isLastRouter && !isBusy(target, at);
        return isAllowed ? target : "";
    }

    private List<String> allBackends() {
        var all = new ArrayList<String>(mFleet.engines());
        all.addAll(mFleet.services());
        return all;
    }

    private boolean isBusy(String name, long at) {
        return mBusyUntil.getOrDefault(name, 0L) > at;
    }

    private void occupy(String name, long until) {
        mBusyUntil.put(name, until);
    }

    private String pick(List<String> names) {
        return names.get(mRandom.nextInt(names.size()));
    }

    private long between(int least, int most) {
        return mRandom.nextInt(least, most + 1);
    }

    private void add(long at, Action action, String target, String detail) {
        mSteps.add(new Step(at, action, target, detail));
    }
}
