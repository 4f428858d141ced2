import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and writes HTTP/1.1 messages byte by byte.
 */
final class HttpWire {

	private HttpWire() {
	}

	/**
	 * A message.
	 *
	 * @param startLine the request or status line
	 * @param headers the header lines, each a name and a value
	 * @param body the body
	 */
	record Message(String startLine, List<String[]> headers, byte[] body) {

		String header(String name) {
			for (String[] header : this.headers) {
				if (header[0].equalsIgnoreCase(name)) {
					return header[1];
				}
			}
			return null;
		}

		int status() {
			String[] parts = this.startLine.split(" ", 3);
			if (!parts[0].startsWith("HTTP/1.") || parts.length < 2 || !parts[1].matches("\\d{3}")) {
				return -1;
			}
			return Integer.parseInt(parts[1]);
		}

		String method() {
			return this.startLine.split(" ", 2)[0];
		}

		String target() {
			return this.startLine.split(" ", 3)[1];
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/**
	 * Reads a message.
	 * @param input the stream
	 * @param bodyless whether the message has no body whatever its headers state, as the
	 * response to a HEAD request
	 * @return the message, or {@code null} at the end of the stream
	 */
	static Message read(InputStream input, boolean bodyless) throws IOException {
		Message head = readHead(input);
		if (head == null || bodyless) {
			return head;
		}
		return new Message(head.startLine(), head.headers(), readBody(input, head));
	}

	static Message readHead(InputStream input) throws IOException {
		String start = line(input);
		if (start == null) {
			return null;
		}
		List<String[]> headers = new ArrayList<>();
		for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
			int colon = line.indexOf(':');
			if (colon > 0) {
				headers.add(new String[] { line.substring(0, colon).trim(), line.substring(colon + 1).trim() });
			}
		}
		return new Message(start, headers, new byte[0]);
	}

	static byte[] readBody(InputStream input, Message head) throws IOException {
		String coding = head.header("Transfer-Encoding");
		if (coding != null && coding.equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (byte[] chunk = chunk(input); chunk.length > 0; chunk = chunk(input)) {
				body.writeBytes(chunk);
			}
			return body.toByteArray();
		}
		String length = head.header("Content-Length");
		return (length != null) ? exactly(input, Integer.parseInt(length)) : new byte[0];
	}

	/**
	 * Reads a chunk.
	 * @param input the stream
	 * @return the bytes, none for the last chunk
	 */
	static byte[] chunk(InputStream input) throws IOException {
		String size = line(input);
		if (size == null || size.isEmpty()) {
			throw new EOFException("stream ends before its last chunk");
		}
		byte[] bytes = exactly(input, Integer.parseInt(size.trim(), 16));
		line(input);
		return bytes;
	}

	private static byte[] exactly(InputStream input, int length) throws IOException {
		byte[] bytes = input.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("body ends after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	private static String line(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("line ends early: " + line);
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static void write(OutputStream output, String head, byte[] body) throws IOException {
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(head.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes(body);
		output.write(message.toByteArray());
		output.flush();
	}

}
