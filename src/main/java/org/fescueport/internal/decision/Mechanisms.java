package org.fescueport.internal.decision;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The mechanisms that are in use; all of them but in an experiment.
 *
 * <pre>{@code
 * var mechanisms = Mechanisms.without("ejection,spill");
 * if (mechanisms.has(Mechanism.SPILL)) {
 *     limitLoad();
 * }
 * }</pre>
 */
public final class Mechanisms {
    private static final Mechanisms ALL = new Mechanisms(EnumSet.noneOf(Mechanism.class));

    private final Set<Mechanism> mOff;

    private Mechanisms(Set<Mechanism> off) {
        mOff = off;
    }

    /** Returns all of them. */
    public static Mechanisms all() {
        return ALL;
    }

    /**
     * Returns all but the named ones.
     *
     * @param names in lower case with hyphens, separated by commas; none where it is empty
     * @throws IllegalArgumentException when a name is not known; the message lists those that are
     */
    public static Mechanisms without(String names) {
        var off = EnumSet.noneOf(Mechanism.class);
        for (String name : names.split(",", -1)) {
            if (!name.isBlank()) {
                off.add(named(name.strip()));
            }
        }
        return new Mechanisms(off);
    }

    /** Returns whether this one is in use. */
    public boolean has(Mechanism mechanism) {
        return !mOff.contains(mechanism);
    }

    /** Returns whether none is switched off. */
    public boolean areAll() {
        return mOff.isEmpty();
    }

    /** Returns the names of those that are switched off. */
    @Override
    public String toString() {
        return mOff.stream().map(Mechanisms::nameOf).collect(Collectors.joining(","));
    }

    private static Mechanism named(String name) {
        return Arrays.stream(Mechanism.values())
                .filter(each -> nameOf(each).equals(name))
                .findFirst()
                .orElseThrow(() -> unknown(name));
    }

    private static IllegalArgumentException unknown(String name) {
        String known =
                Arrays.stream(Mechanism.values())
                        .map(Mechanisms::nameOf)
                        .collect(Collectors.joining(", "));
        return new IllegalArgumentException(
                "there is no mechanism '" + name + "'; use one of: " + known);
    }

    private static String nameOf(Mechanism mechanism) {
        return mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
