package org.fescueport.internal.load.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Rows of figures, as a table for people and as one line of JSON. */
final class Report {
    private static final int WIDTH = 14;
    private static final int NAME_WIDTH = 30;

    private final Map<String, Object> mHead = new LinkedHashMap<>();
    private final List<Map<String, Object>> mRows = new ArrayList<>();

    Report(String experiment, long seed, boolean quick) {
        mHead.put("experiment", experiment);
        mHead.put("seed", seed);
        mHead.put("quick", quick);
    }

    /** Adds a figure of the whole experiment. */
    Report with(String name, Object value) {
        mHead.put(name, rounded(value));
        return this;
    }

    /** Adds a row; the pairs are names and values. */
    Map<String, Object> row(String name) {
        var row = new LinkedHashMap<String, Object>();
        row.put("name", name);
        mRows.add(row);
        return row;
    }

    Object figure(String row, String column) {
        for (var entry : mRows) {
            if (entry.get("name").equals(row)) {
                return entry.get(column);
            }
        }
        throw new IllegalArgumentException("no row " + row);
    }

    String table() {
        var text = new StringBuilder();
        Object columns = null;
        for (var row : mRows) {
            if (!row.keySet().equals(columns)) {
                columns = row.keySet();
                row.keySet().forEach(name -> append(text, name, name));
                text.append('\n');
            }
            row.forEach((name, value) -> append(text, name, rounded(value)));
            text.append('\n');
        }
        return text.toString();
    }

    String json() {
        var all = new LinkedHashMap<>(mHead);
        mRows.forEach(row -> row.replaceAll((name, value) -> rounded(value)));
        all.put("rows", mRows);
        try {
            return new ObjectMapper().writeValueAsString(all);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the report cannot be written as JSON", e);
        }
    }

    private static void append(StringBuilder text, String column, Object value) {
        boolean isName = column.equals("name");
        String format =
                isName ? "%-" + NAME_WIDTH + "s" : "%" + Math.max(WIDTH, column.length() + 2) + "s";
        text.append(String.format(Locale.ROOT, format, value));
    }

    static Object rounded(Object value) {
        return value instanceof Double number ? Math.round(number * 10_000) / 10_000.0 : value;
    }
}
