package org.fescueport.internal.agent;

import java.util.concurrent.CompletableFuture;
import org.fescueport.port.Engine;
import org.fescueport.port.PlainService;

/** The backend server beside which an agent runs. */
sealed interface Backend {
    /** A model engine. */
    record Model(Engine engine) implements Backend {}

    /** A plain service. */
    record Service(PlainService service) implements Backend {}

    /** Fails when the backend server does not answer its health check. */
    default CompletableFuture<Void> checkHealth() {
        return switch (this) {
            case Model model -> model.engine().checkHealth();
            case Service service -> service.service().checkHealth();
        };
    }
}
