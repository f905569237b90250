import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reading of HTTP/1.1 messages, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** Head of a message: its first line and its fields, names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name);
        }
    }

    /** Reads a head, null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(first, fields);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body with a length or in chunks; null if it is cut off. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    return null;
                }
                int count = Integer.parseInt(size.split(";")[0].strip(), 16);
                byte[] chunk = in.readNBytes(count);
                if (chunk.length < count || readLine(in) == null) {
                    return null;
                }
                if (count == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }
        String length = head.field("content-length");
        if (length == null) {
            return new byte[0];
        }
        byte[] bytes = in.readNBytes(Integer.parseInt(length));
        return bytes.length < Integer.parseInt(length) ? null : bytes;
    }
}
