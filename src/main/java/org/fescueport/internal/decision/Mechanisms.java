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

    private final Set<Mechanism> mDisabled;

    private Mechanisms(Set<Mechanism> disabled) {
        mDisabled = disabled;
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
        var disabled = EnumSet.noneOf(Mechanism.class);
        for (String name : names.split(",", -1)) {
            if (!name.isBlank()) {
                disabled.add(parse(name.strip()));
            }
        }
        return new Mechanisms(disabled);
    }

    /** Returns whether this one is in use. */
    public boolean isEnabled(Mechanism mechanism) {
        return !mDisabled.contains(mechanism);
    }

    /** Returns whether none is switched off. */
    public boolean areAllEnabled() {
        return mDisabled.isEmpty();
    }

    /** Returns the names of those that are switched off. */
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
                "there is no mechanism '" + name + "'; use one of: " + known);
    }

    private static String nameOf(Mechanism mechanism) {
        return mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
