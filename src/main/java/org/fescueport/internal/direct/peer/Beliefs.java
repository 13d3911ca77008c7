package org.fescueport.internal.direct.peer;

import java.util.OptionalLong;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.internal.wire.generated.PeerBeliefs;

/** Compares what this node has in force with what another one tells. */
final class Beliefs {
    private final FleetView mView;
    private final EraTracker mEras;

    Beliefs(FleetView view, EraTracker eras) {
        mView = view;
        mEras = eras;
    }

    /** Returns what this node has in force. */
    PeerBeliefs encode() {
        StorePosition drained = mView.drainedEnd();
        var beliefs =
                PeerBeliefs.newBuilder()
                        .setStoreEra(mEras.current())
                        .setDrainedEra(drained.era())
                        .setDrainedEnd(drained.offset());
        mView.configurationVersion().ifPresent(beliefs::setConfigurationVersion);
        return beliefs.build();
    }

    /** Returns whether the other node lacks a configuration or drained domains known here. */
    boolean lacksConfiguration(PeerBeliefs other) {
        OptionalLong own = mView.configurationVersion();
        boolean known = other.hasConfigurationVersion();
        boolean older =
                own.isPresent() && (!known || other.getConfigurationVersion() < own.getAsLong());
        return older || drainedEnd(other).isBefore(mView.drainedEnd());
    }

    /** Returns whether this node lacks a configuration or drained domains known to the other. */
    boolean hasNewerConfiguration(PeerBeliefs other) {
        return hasNewerVersion(other) || mView.drainedEnd().isBefore(drainedEnd(other));
    }

    /** Returns whether this node lacks the version of the configuration in force at the other. */
    boolean hasNewerVersion(PeerBeliefs other) {
        OptionalLong own = mView.configurationVersion();
        return other.hasConfigurationVersion()
                && (own.isEmpty() || other.getConfigurationVersion() > own.getAsLong());
    }

    private static StorePosition drainedEnd(PeerBeliefs beliefs) {
        return StorePosition.of(beliefs.getDrainedEra(), beliefs.getDrainedEnd());
    }
}
