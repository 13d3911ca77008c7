package org.fescueport.platform;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** A caller's connection; requests and answers are plain text. */
public final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;

    /** An answer; names of headers in lower case. */
    public record Answer(int status, Map<String, String> headers, String body, boolean complete) {
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private final Socket mSocket = new Socket();

    public static RawCaller connect(InetSocketAddress address) throws IOException {
        var caller = new RawCaller();
        caller.mSocket.connect(address, TIMEOUT_MS);
        caller.mSocket.setSoTimeout(TIMEOUT_MS);
        return caller;
    }

    /** Sends one request over a connection of its own and returns the answer. */
    static Answer ask(InetSocketAddress address, String request) throws IOException {
        try (var caller = connect(address)) {
            caller.send(request);
            return caller.receive();
        }
    }

    /** Returns the status alone; for conditions, which can't throw what is checked. */
    static int statusOf(InetSocketAddress address, String request) {
        try {
            return ask(address, request).status();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads one answer; it is incomplete when the connection ends too early. */
    public Answer receive() throws IOException {
        return receive(mSocket.getInputStream());
    }

    /** Reads an answer that has no body, whatever its headers say. */
    Answer receiveHead() throws IOException {
        String start = RawHttp.readLine(mSocket.getInputStream());
        int status = start == null ? 0 : Integer.parseInt(start.split(" ")[1]);
        return new Answer(status, RawHttp.readHeaders(mSocket.getInputStream()), "", start != null);
    }

    /** Reads one answer from the bytes that {@link #receiveThrough} has returned. */
    static Answer parse(String bytes) throws IOException {
        return receive(new ByteArrayInputStream(bytes.getBytes(StandardCharsets.UTF_8)));
    }

    private static Answer receive(InputStream input) throws IOException {
        String start = RawHttp.readLine(input);
        if (start == null) {
            return new Answer(0, Map.of(), "", false);
        }
        Map<String, String> headers = RawHttp.readHeaders(input);
        int status = Integer.parseInt(start.split(" ")[1]);
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            return receiveChunks(input, status, headers);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        return new Answer(status, headers, text(body), body.length == length);
    }

    /** Returns all bytes that come until the text has come, chunk sizes among them. */
    String receiveThrough(String text) throws IOException {
        return receiveThrough(text, StandardCharsets.UTF_8);
    }

    /** Returns the same with one character for each byte. */
    String receiveBytesThrough(String text) throws IOException {
        return receiveThrough(text, StandardCharsets.ISO_8859_1);
    }

    private String receiveThrough(String text, Charset charset) throws IOException {
        var received = new ByteArrayOutputStream();
        while (!received.toString(charset).contains(text)) {
            int next = mSocket.getInputStream().read();
            if (next < 0) {
                throw new EOFException("'" + text + "' did not come: " + received);
            }
            received.write(next);
        }
        return received.toString(charset);
    }

    /** Returns whether the first byte of an answer is there. */
    boolean hasAnswer() throws IOException {
        return mSocket.getInputStream().available() > 0;
    }

    /** Returns whether the other side has closed the connection and sent nothing more. */
    boolean isAtEnd() throws IOException {
        try {
            return mSocket.getInputStream().read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private static Answer receiveChunks(InputStream input, int status, Map<String, String> headers)
            throws IOException {
        var body = new ByteArrayOutputStream();
        try {
            for (String size = RawHttp.readLine(input);
                    size != null;
                    size = RawHttp.readLine(input)) {
                int length = Integer.parseInt(size, 16);
                body.writeBytes(input.readNBytes(length));
                RawHttp.readLine(input);
                if (length == 0) {
                    return new Answer(status, headers, text(body.toByteArray()), true);
                }
            }
        } catch (java.net.SocketException e) {
            // A reset ends the answer too early.
        }
        return new Answer(status, headers, text(body.toByteArray()), false);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
