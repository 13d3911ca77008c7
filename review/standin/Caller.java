package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's connection. */
final class Caller implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final BufferedInputStream mIn;

    Caller(InetSocketAddress address) throws IOException {
        mSocket.connect(address, 1_000);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(20_000);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /** Returns a request; an empty key sends none. */
    static String request(
            String method, String path, String id, String key, long deadline, String body) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: small.example\r\nFescueport-Attempt-Id: "
                + id
                + "\r\nFescueport-Deadline-Ms: "
                + deadline
                + "\r\n"
                + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n")
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n"
                + body;
    }

    void send(String request) throws IOException {
        mSocket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    Http.Message receive(String method) throws IOException {
        return Http.readResponse(mIn, method);
    }

    Http.Message ask(String request) throws IOException {
        send(request);
        return receive(request.substring(0, request.indexOf(' ')));
    }

    /** Returns what arrives within this time although nothing was asked; empty if nothing does. */
    String unasked(int millis) throws IOException {
        mSocket.setSoTimeout(millis);
        var text = new StringBuilder();
        try {
            for (int value = mIn.read(); value >= 0; value = mIn.read()) {
                text.append((char) value);
            }
        } catch (java.net.SocketTimeoutException e) {
            // Nothing more comes.
        }
        mSocket.setSoTimeout(20_000);
        return text.toString();
    }

    Socket socket() {
        return mSocket;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
