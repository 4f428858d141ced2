package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * A caller with a single connection.
 */
class TestCaller implements AutoCloseable {

	private final Socket connection;

	TestCaller(SocketAddress address) throws IOException {
		this(address, 1 << 16);
	}

	TestCaller(SocketAddress address, int receiveBufferBytes) throws IOException {
		this.connection = new Socket();
		this.connection.setReceiveBufferSize(receiveBufferBytes);
		this.connection.connect(address);
		this.connection.setSoTimeout(30_000);
	}

	void send(String text) throws IOException {
		this.connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	Response call(String firstLine, String id) throws IOException {
		send(firstLine + "\r\nhost: host\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n");
		return read();
	}

	Response read() throws IOException {
		InputStream input = this.connection.getInputStream();
		String head = readUntil(input, "\r\n\r\n");
		int status = Integer.parseInt(head.split(" ")[1]);
		String length = ScriptedEndpoint.header(head, "content-length");
		if (!length.isEmpty()) {
			byte[] body = input.readNBytes(Integer.parseInt(length));
			return new Response(status, head, new String(body, StandardCharsets.US_ASCII), true);
		}
		StringBuilder body = new StringBuilder();
		while (true) {
			String size = readUntil(input, "\r\n").trim();
			if (size.isEmpty()) {
				return new Response(status, head, body.toString(), false);
			}
			String chunk = new String(input.readNBytes(Integer.parseInt(size, 16)), StandardCharsets.US_ASCII);
			readUntil(input, "\r\n");
			if (chunk.isEmpty()) {
				return new Response(status, head, body.toString(), true);
			}
			body.append(chunk);
		}
	}

	/** Reads some bytes, or fewer at the end of the connection. */
	int readBytes(int length) throws IOException {
		return this.connection.getInputStream().readNBytes(length).length;
	}

	String readToEnd() throws IOException {
		return new String(this.connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private static String readUntil(InputStream input, String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith(end)) {
			int read = input.read();
			if (read < 0) {
				return text.toString();
			}
			text.append((char) read);
		}
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.connection.close();
	}

	record Response(int status, String head, String body, boolean complete) {
	}

}
