package org.fescueport.internal.load.experiment;

/** One experiment with the decisions; the same seed gives the same figures. */
@FunctionalInterface
interface Experiment {
    Report run(long seed, boolean quick);
}
