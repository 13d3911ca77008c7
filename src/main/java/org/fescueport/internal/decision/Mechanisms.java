package org.fescueport.internal.decision;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The set of enabled mechanisms. All mechanisms are enabled except in experiments.
 *
 * <pre>{@code
 * var mechanisms = Mechanisms.without("ejection,spill");
 * if (mechanisms.isEnabled(Mechanism.SPILL)) {
 *     limitLoad();
 * }
 * }</pre>
 */
public final class Mechanisms {
    private static final Mechanisms ALL = new Mechanisms(EnumSet.noneOf(Mechanism.class));

    private final Set<Mechanism> mDisabled;

    private Mechanisms(Set<Mechanism> disabled) {
        mDisabled = disabled;
    }

    /** Returns a set in which every mechanism is enabled. */
    public static Mechanisms all() {
        return ALL;
    }

    /**
     * Returns a set in which every mechanism is enabled except the named ones.
     *
     * @param names comma-separated names in lower case with hyphens; may be empty
     * @throws IllegalArgumentException if a name is unknown; the message lists the known names
     */
    public static Mechanisms without(String names) {
        var disabled = EnumSet.noneOf(Mechanism.class);
        for (String name : names.split(",", -1)) {
            if (!name.isBlank()) {
                disabled.add(parse(name.strip()));
            }
        }
        return new Mechanisms(disabled);
    }

    /** Returns whether this mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return !mDisabled.contains(mechanism);
    }

    /** Returns whether every mechanism is enabled. */
    public boolean areAllEnabled() {
        return mDisabled.isEmpty();
    }

    /** Returns the comma-separated names of the disabled mechanisms. */
    @Override
    public String toString() {
        return mDisabled.stream().map(Mechanisms::nameOf).collect(Collectors.joining(","));
    }

    private static Mechanism parse(String name) {
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
                "unknown mechanism '" + name + "'; use one of: " + known);
    }

    private static String nameOf(Mechanism mechanism) {
        return mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
