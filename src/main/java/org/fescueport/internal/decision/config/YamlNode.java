package org.fescueport.internal.decision.config;

import java.util.List;

/** A YAML document with the line of every value. */
sealed interface YamlNode {
    /** Returns the line on which the value starts, counted from 1. */
    int line();

    /** One entry of a mapping. */
    record Entry(String key, int line, YamlNode value) {}

    /** A mapping, in the order of the file; keys may stand twice. */
    record Mapping(int line, List<Entry> entries) implements YamlNode {}

    /** A sequence. */
    record Sequence(int line, List<YamlNode> items) implements YamlNode {}

    /** A scalar as it was written. */
    record Scalar(int line, String text) implements YamlNode {}
}
