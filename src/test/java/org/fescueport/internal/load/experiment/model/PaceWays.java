package org.fescueport.internal.load.experiment.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.placement.WorkKind;
import org.fescueport.internal.load.experiment.VirtualTime;

/** The product's pace of new replicas, and other ways to compare it with. */
enum PaceWays {
    /** A new replica gets its full share at once. */
    NONE {
        @Override
        Placer placer(ReplicaLoads loads, Random random) {
            return Placer.leastHeld(loads);
        }
    },
    /** The share grows linearly with time, whatever the replica answers. */
    BY_TIME {
        @Override
        Placer placer(ReplicaLoads loads, Random random) {
            return new Simple(loads) {
                @Override
                boolean allows(New state, ReplicaSet set, long now) {
                    double age = now - state.mSinceNanos;
                    return random.nextDouble() < age / (4 * VirtualTime.SECOND);
                }
            };
        }
    },
    /** Each node has a window of requests in flight, which quick answers double each round. */
    WINDOW {
        @Override
        Placer placer(ReplicaLoads loads, Random random) {
            return new Simple(loads) {
                @Override
                boolean allows(New state, ReplicaSet set, long now) {
                    return state.mInFlight < state.mWindow;
                }
            };
        }
    },
    /** A new replica may hold twice what the last quick answer told, up to the mean. */
    REPORTED_LOAD {
        @Override
        Placer placer(ReplicaLoads loads, Random random) {
            return new Simple(loads) {
                @Override
                boolean allows(New state, ReplicaSet set, long now) {
                    double mean = loads.occupancy(set, now) * set.replica(0).weight();
                    return loads.inFlight(state.mNode, now) < Math.min(mean, state.mTold);
                }
            };
        }
    },
    /** The product's own. */
    PACE {
        @Override
        Placer placer(ReplicaLoads loads, Random random) {
            return new Paced(loads, random);
        }
    };

    private static final WorkKind KIND = WorkKind.of("route", 0);

    abstract Placer placer(ReplicaLoads loads, Random random);

    /** Returns what a fleet's routers place by. */
    Function<ReplicaLoads, Placer> placers(Random random) {
        return loads -> placer(loads, random);
    }

    private static final class New {
        final NodeId mNode;
        final long mSinceNanos;
        int mInFlight;
        double mWindow = 1;
        double mTold = 1;

        New(NodeId node, long nowNanos) {
            mNode = node;
            mSinceNanos = nowNanos;
        }
    }

    /** Knows the time of a sound answer, and which replicas have started after the first ones. */
    private abstract static class Simple implements Placer {
        private static final long QUICK_NANOS = 600 * VirtualTime.MILLI;

        private final ReplicaLoads mLoads;
        private final Placer mPlacer;
        private final Map<AgentIncarnation, New> mNew = new HashMap<>();

        Simple(ReplicaLoads loads) {
            mLoads = loads;
            mPlacer = Placer.leastHeld(loads);
        }

        abstract boolean allows(New state, ReplicaSet set, long now);

        private New state(Replica replica, long now) {
            return mNew.computeIfAbsent(
                    AgentIncarnation.of(replica.node(), replica.incarnation()),
                    life -> new New(replica.node(), now));
        }

        @Override
        public Optional<Replica> choose(
                ReplicaSet set, Affinity affinity, ReplicaFilter filter, long now) {
            ReplicaFilter paced =
                    replica -> replica.incarnation() == 0 || allows(state(replica, now), set, now);
            var chosen = mPlacer.choose(set, affinity, paced.and(filter), now);
            return chosen.isPresent() ? chosen : mPlacer.choose(set, affinity, filter, now);
        }

        @Override
        public Watcher onSent(Replica replica, long sent) {
            New state = state(replica, sent);
            state.mInFlight++;
            return new Watcher() {
                @Override
                public void onFirst(long now) {
                    state.mInFlight--;
                    boolean quick = now - sent < QUICK_NANOS;
                    int held = mLoads.inFlight(state.mNode, now);
                    state.mTold = quick ? Math.max(state.mTold, 2 * held) : 1;
                    state.mWindow = quick ? state.mWindow + 1 : Math.max(1, state.mWindow / 2);
                }

                @Override
                public void onRefused(long now) {
                    onFailed(now);
                }

                @Override
                public void onFailed(long now) {
                    state.mInFlight--;
                    state.mWindow = 1;
                    state.mTold = 1;
                }
            };
        }
    }

    private static final class Paced implements Placer {
        private final ReplicaPace mPace;
        private final Placer mPlacer;
        private ReplicaSet mSet;

        Paced(ReplicaLoads loads, Random random) {
            mPace = ReplicaPace.create(loads, random);
            mPlacer = Placer.leastHeld(loads);
        }

        @Override
        public Optional<Replica> choose(
                ReplicaSet set, Affinity affinity, ReplicaFilter filter, long now) {
            mSet = set;
            mPace.onReplicas(set, true, now);
            mPace.onRequest(set, filter, now);
            var paced = mPace.filter(set, affinity, now).and(filter);
            var chosen = mPlacer.choose(set, affinity, paced, now);
            return chosen.isPresent() ? chosen : mPlacer.choose(set, affinity, filter, now);
        }

        @Override
        public Watcher onSent(Replica replica, long sent) {
            var life = AgentIncarnation.of(replica.node(), replica.incarnation());
            double slow = ReplicaPace.slowFactor(true, 1);
            var sending = mPace.onSent(mSet.pool(), life, KIND, slow, sent);
            return new Watcher() {
                @Override
                public void onFirst(long now) {
                    mPace.onFirstByte(sending, now);
                }

                @Override
                public void onRefused(long now) {
                    mPace.onEnded(sending);
                    mPace.onRefused(mSet.pool(), life, now);
                }

                @Override
                public void onFailed(long now) {
                    mPace.onEnded(sending);
                    mPace.onFailure(mSet.pool(), life, now);
                }
            };
        }
    }
}
