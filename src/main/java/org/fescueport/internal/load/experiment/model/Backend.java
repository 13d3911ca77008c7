package org.fescueport.internal.load.experiment.model;

/** A modelled replica: it queues and refuses by itself, as those behind the direct way do. */
public sealed interface Backend permits EngineModel, ServiceModel {
    /** Told what becomes of calls. */
    interface Listener {
        /** The answer begins. */
        void onFirst(Call call);

        /** Nothing more is done for the call. */
        void onEnded(Call call, boolean complete);
    }

    /** Returns whether the call was taken; else nothing of it runs. */
    boolean offer(Call call, Listener listener);

    /** Returns how many calls it works on. */
    int running();

    /** Returns how many calls it holds, also those that wait. */
    int held();
}
