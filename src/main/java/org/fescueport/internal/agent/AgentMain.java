package org.fescueport.internal.agent;

/** Entry point of the program. */
public final class AgentMain {
    private AgentMain() {}

    public static void main(String[] arguments) {}
}
