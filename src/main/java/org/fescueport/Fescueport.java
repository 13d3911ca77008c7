package org.fescueport;

import java.util.Map;
import org.fescueport.internal.agent.AgentMain;
import org.fescueport.internal.router.RouterMain;
import org.fescueport.internal.settings.ProgramCommand;
import org.fescueport.internal.settings.ProgramRunner;

/**
 * The front door for programs that hold a router or an agent in their own process, such as a test
 * bench. On VMs the scripts under {@code bin/} are used instead.
 *
 * <pre>{@code
 * Node router = Fescueport.startRouter(Map.of(
 *         "FESCUE_NODE", "entry-1",
 *         "FESCUE_FAILURE_DOMAIN", "north",
 *         "FESCUE_LOG_URL", "http://10.0.0.5:8080",
 *         "FESCUE_VMS_URL", "http://10.0.0.5:8081",
 *         "FESCUE_TOKEN_KEYS", "1:" + secret));
 * router.stop();
 * }</pre>
 */
public final class Fescueport {
    private static final Runnable NOTHING = () -> {};

    private Fescueport() {}

    /** A router or an agent that runs in this process. */
    public interface Node {
        /** Begins a graceful shutdown and returns when no request is in flight any more. */
        void stop();
    }

    /** Returns the version of this library. */
    public static String version() {
        return ProgramRunner.version();
    }

    /**
     * Starts a router.
     *
     * @param settings by the names of the environment variables; all wrong ones are told at once
     * @throws RuntimeException when a setting is wrong or the router cannot start
     */
    public static Node startRouter(Map<String, String> settings) {
        return start(new RouterMain(), settings);
    }

    /**
     * Starts an agent.
     *
     * @param settings by the names of the environment variables; all wrong ones are told at once
     * @throws RuntimeException when a setting is wrong or the agent cannot start
     */
    public static Node startAgent(Map<String, String> settings) {
        return start(new AgentMain(), settings);
    }

    private static Node start(ProgramCommand command, Map<String, String> settings) {
        try {
            return command.start(settings, NOTHING)::stop;
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException("cannot start: " + e.getMessage(), e);
        }
    }
}
