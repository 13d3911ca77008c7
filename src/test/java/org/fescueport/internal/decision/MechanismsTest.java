package org.fescueport.internal.decision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class MechanismsTest {
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void shouldEnableEachMechanismUnlessItIsDisabled(Mechanism mechanism) {
        String name = mechanism.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        var without = Mechanisms.without(name);
        assertThat(Mechanisms.all().isEnabled(mechanism), is(true));
        for (var each : Mechanism.values()) {
            assertThat(each.name(), without.isEnabled(each), is(each != mechanism));
        }
        assertThat(without.toString(), is(name));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", ",", " , "})
    void shouldEnableAllIfNoneIsNamed(String names) {
        assertThat(Mechanisms.without(names).areAllEnabled(), is(true));
    }

    @Test
    void shouldDisableSeveral() {
        var without = Mechanisms.without("spill, ejection");
        assertThat(without.isEnabled(Mechanism.SPILL), is(false));
        assertThat(without.isEnabled(Mechanism.EJECTION), is(false));
        assertThat(without.isEnabled(Mechanism.ADMISSION), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"SPILL", "spil", "spill;ejection", "free_slots_first"})
    void shouldListKnownNamesIfOneIsUnknown(String names) {
        var wrong = assertThrows(IllegalArgumentException.class, () -> Mechanisms.without(names));
        assertThat(
                wrong.getMessage(),
                allOf(containsString(names), containsString("free-slots-first")));
    }
}
