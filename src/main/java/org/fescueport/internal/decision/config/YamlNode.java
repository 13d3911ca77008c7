package org.fescueport.internal.decision.config;

import java.util.List;

/** A value in a YAML document, with its line number. */
sealed interface YamlNode {
    /** Returns the number of the line on which the value starts, counted from 1. */
    int line();

    /** One entry of a mapping. */
    record Entry(String key, int line, YamlNode value) {}

    /** A mapping with its entries in the order of the file; the same key may occur repeatedly. */
    record Mapping(int line, List<Entry> entries) implements YamlNode {}

    /** A sequence. */
    record Sequence(int line, List<YamlNode> items) implements YamlNode {}

    /** A scalar; {@code text} is its value without quotes, not converted to a type. */
    record Scalar(int line, String text) implements YamlNode {}
}
