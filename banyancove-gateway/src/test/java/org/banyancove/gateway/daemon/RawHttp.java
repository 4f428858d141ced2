package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes the bytes of HTTP messages for stand-ins of endpoints.
 */
final class RawHttp {

	private RawHttp() {
	}

	/** Returns an empty text at the end of the connection. */
	static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
			int read = input.read();
			if (read < 0) {
				return "";
			}
			head.append((char) read);
		}
		return head.toString();
	}

	/** Returns an empty text if there is no such header. */
	static String header(String head, String name) {
		for (String line : head.split("\r\n")) {
			if (line.startsWith(name + ": ")) {
				return line.substring(name.length() + 2);
			}
		}
		return "";
	}

	static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.US_ASCII));
		output.flush();
	}

}
