import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A request or a response as it was read from a socket. */
final class HttpMessage {
    final String startLine;
    final List<String[]> headers = new ArrayList<>();
    String body = "";
    private static final java.nio.charset.Charset ISO = StandardCharsets.ISO_8859_1;

    /** Longest gap without an event for which callers wait, 0 for their deadline. */
    static volatile long patienceMillis;

    private long lastEventMillis;

    private HttpMessage(String startLine) {
        this.startLine = startLine;
    }

    String header(String name) {
        for (String[] header : headers) {
            if (header[0].equals(name)) {
                return header[1];
            }
        }
        return null;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads a message to its end; null if the connection ends before it begins. */
    static HttpMessage read(InputStream in, boolean response) throws IOException {
        HttpMessage message = readHead(in);
        if (message == null) {
            return null;
        }
        message.readBody(in, response);
        return message;
    }

    /** Reads a request without its body; null if the connection ends before it begins. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        HttpMessage message = new HttpMessage(line);
        message.readHeaders(in);
        return message;
    }

    private void readHeaders(InputStream in) throws IOException {
        for (String header = line(in); header == null || !header.isEmpty(); header = line(in)) {
            if (header == null) {
                throw new EOFException("inside a head");
            }
            int colon = header.indexOf(':');
            headers.add(
                    new String[] {
                        header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).strip()
                    });
        }
    }

    void readBody(InputStream in, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = header("content-length");
        if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("inside a chunked body after " + body.size() + " bytes");
                }
                int bytes = Integer.parseInt(size.strip(), 16);
                if (bytes == 0) {
                    line(in);
                    break;
                }
                copy(in, body, bytes);
                line(in);
                leaveIfNoEvent(body, bytes);
            }
        } else if (length != null) {
            copy(in, body, Integer.parseInt(length));
        } else if (response) {
            for (int b = in.read(); b >= 0; b = in.read()) {
                body.write(b);
            }
        }
        this.body = body.toString(StandardCharsets.ISO_8859_1);
    }

    /** A caller abandons a stream after a gap without an event; comments are no events. */
    private void leaveIfNoEvent(ByteArrayOutputStream body, int lastChunk) throws IOException {
        if (patienceMillis == 0) {
            return;
        }
        long now = System.nanoTime() / 1_000_000;
        byte[] bytes = body.toByteArray();
        String chunk = new String(bytes, bytes.length - lastChunk, lastChunk, ISO);
        if (lastEventMillis == 0 || chunk.contains("data:")) {
            lastEventMillis = now;
        } else {
            body.reset();
        }
        if (now - lastEventMillis > patienceMillis) {
            throw new EOFException("left by the caller: no event for " + patienceMillis + " ms");
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int count)
            throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("inside a body");
        }
        body.write(bytes);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("inside a line");
            }
            bytes.write(b);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
