import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over streams, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** A request; the names of headers are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String pair : target.substring(mark + 1).split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /**
     * An answer.
     *
     * @param complete whether its whole body came
     */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Reads a request with a length or none; returns null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        String[] words = start.split(" ");
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        return new Request(words[0], words[1], headers, body);
    }

    /** Reads an answer whose body has a length, comes in chunks, or ends with its connection. */
    static Answer readAnswer(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            throw new IOException("closed without an answer");
        }
        int status = Integer.parseInt(start.split(" ")[1]);
        Map<String, String> headers = headers(in);
        var body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                complete = false;
                for (String size = line(in); size != null; size = line(in)) {
                    int length = Integer.parseInt(size, 16);
                    byte[] chunk = in.readNBytes(length);
                    body.write(chunk);
                    String end = line(in);
                    if (length == 0) {
                        complete = end != null;
                        break;
                    }
                }
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] bytes = in.readNBytes(length);
                body.write(bytes);
                complete = bytes.length == length;
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Answer(status, headers, body.toByteArray(), complete);
    }

    static void write(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
                        + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static String line(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return null;
    }
}
