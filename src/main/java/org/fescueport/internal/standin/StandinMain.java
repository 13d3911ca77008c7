package org.fescueport.internal.standin;

/** Entry point of the program. */
public final class StandinMain {
    private StandinMain() {}

    public static void main(String[] arguments) {}
}
