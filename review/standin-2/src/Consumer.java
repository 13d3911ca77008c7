import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sends requests as consumers do, each on a connection of its own. */
final class Consumer {
    private static final int CONNECT_MILLIS = 1_000;

    /** Status of a request whose connection ended without an answer, or was never opened. */
    static final int NO_ANSWER = 0;

    /** Status of a request whose answer could not be read to its end. */
    static final int CUT = -1;

    private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: *([0-9]+)$");

    private Consumer() {}

    /** Returns the status of a GET without further headers. */
    static int get(int port, String path) {
        return send(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000);
    }

    /** An answer; a body without a length is what came until the connection ended. */
    record Reply(int status, String head, String body) {}

    /** Returns the status of the answer, or {@link #NO_ANSWER}. */
    static int send(int port, String request, int timeoutMillis) {
        return exchange(port, request, timeoutMillis).status();
    }

    /** Sends a request that asks for the connection to be closed, and reads its whole answer. */
    static Reply exchange(int port, String request, int timeoutMillis) {
        try (var socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MILLIS);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = HttpStub.readLine(in);
            if (line == null) {
                return new Reply(NO_ANSWER, "", "");
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            var head = new StringBuilder();
            while (line != null && !line.isEmpty()) {
                head.append(line).append('\n');
                line = HttpStub.readLine(in);
            }
            return new Reply(status, head.toString(), readBody(in, head.toString()));
        } catch (IOException e) {
            return new Reply(NO_ANSWER, "", "");
        }
    }

    private static String readBody(InputStream in, String head) throws IOException {
        Matcher length = LENGTH.matcher(head);
        byte[] body =
                length.find() ? in.readNBytes(Integer.parseInt(length.group(1))) : in.readAllBytes();
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
