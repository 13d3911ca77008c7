package org.fescueport.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads the plain text of HTTP/1.1. */
final class RawHttp {
    private RawHttp() {}

    /** Returns the headers up to the empty line; their names in lower case. */
    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(input);
                line != null && !line.isEmpty();
                line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** Returns a line without its end, or null where the connection ends. */
    static String readLine(InputStream input) throws IOException {
        var line = new ByteArrayOutputStream();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
