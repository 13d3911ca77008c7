package org.fescueport.port;

import java.util.concurrent.CompletableFuture;

/** The platform's store of model weights and adapters, which limits its rate. */
public interface WeightStore {
    /** Size in bytes of an artifact, as the store's index tells it. */
    CompletableFuture<Long> sizeOf(String artifact);
}
