package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers in order, and its body. */
    record Message(String firstLine, List<String[]> headers, byte[] body) {
        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        String word(int index) {
            String[] words = firstLine.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            String connection = header("Connection");
            return connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
        }
    }

    /** Reads a line without its end; null at the end of the stream before the first byte. */
    static String readLine(InputStream in) throws IOException {
        var line = new ByteArrayOutputStream();
        int value = in.read();
        if (value < 0) {
            return null;
        }
        while (value >= 0 && value != '\n') {
            if (value != '\r') {
                line.write(value);
            }
            value = in.read();
        }
        if (value < 0) {
            throw new EOFException("the stream ended inside a line: " + line);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.add(
                    new String[] {
                        line.substring(0, Math.max(0, colon)), line.substring(colon + 1).strip()
                    });
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a request; null at the end of the stream. */
    static Message readRequest(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.firstLine, head.headers, readBody(in, head));
    }

    /** Reads the response to a request with this method; throws if it is not complete. */
    static Message readResponse(InputStream in, String method) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            throw new EOFException("closed without an answer");
        }
        if (!head.firstLine.startsWith("HTTP/1.1 ")) {
            throw new IOException("bytes that are no answer: " + head.firstLine);
        }
        boolean empty =
                method.equals("HEAD") || head.status() == 204 || head.status() == 304;
        byte[] body = empty ? new byte[0] : readBody(in, head);
        return new Message(head.firstLine, head.headers, body);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        String coding = head.header("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            var body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("ended before its last chunk");
                }
                int length = Integer.parseInt(line.split(";")[0].strip(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }
}
