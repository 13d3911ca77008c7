package org.fescueport.internal.ctl;

/** Entry point of the program. */
public final class CtlMain {
    private CtlMain() {}

    public static void main(String[] arguments) {}
}
