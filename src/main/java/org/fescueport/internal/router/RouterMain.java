package org.fescueport.internal.router;

/** Entry point of the program. */
public final class RouterMain {
    private RouterMain() {}

    public static void main(String[] arguments) {}
}
