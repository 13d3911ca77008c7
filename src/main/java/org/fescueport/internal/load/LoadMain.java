package org.fescueport.internal.load;

/** Entry point of the program. */
public final class LoadMain {
    private LoadMain() {}

    public static void main(String[] arguments) {}
}
