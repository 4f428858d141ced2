package org.banyancove.gateway.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint that may answer a request twice, the second time late, and records what it
 * answered first.
 */
final class StutteringEndpoint implements AutoCloseable {

	private static final int MAXIMUM_DELAY_MILLIS = 2000;

	private final ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());

	private final Map<String, Answer> firstAnswers = new ConcurrentHashMap<>();

	private final SplittableRandom random;

	private final Identity identity;

	private volatile String lastId = "none";

	StutteringEndpoint(long seed, Identity identity) throws IOException {
		this.random = new SplittableRandom(seed);
		this.identity = identity;
		Thread.ofVirtual().start(this::accept);
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
	}

	/** Returns the answers that belong to requests, by request id. */
	Map<String, Answer> firstAnswers() {
		return this.firstAnswers;
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.server.accept();
				Thread.ofVirtual().start(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The server socket was closed.
		}
	}

	private synchronized int draw(int bound) {
		return this.random.nextInt(bound);
	}

	private void serve(Socket connection) {
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(connection.getInputStream());
			for (String head = RawHttp.readHead(input); !head.isEmpty(); head = RawHttp.readHead(input)) {
				String length = RawHttp.header(head, "content-length");
				input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
				if (!answer(connection, RawHttp.header(head, "id"))) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The gateway reset the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean answer(Socket connection, String id) throws IOException, InterruptedException {
		String other = this.lastId;
		this.lastId = id;
		TimeUnit.MILLISECONDS.sleep(draw(10));
		Answer first = new Answer(draw(3), draw(2), "first " + id);
		Answer second = new Answer(draw(3), draw(3), "second " + id);
		this.firstAnswers.put(id, first);
		String secondText = second.text(switch (this.identity) {
			case SAME -> id;
			case OTHER -> other;
			case NONE -> "";
		});
		OutputStream output = connection.getOutputStream();
		switch (draw(4)) {
			case 0 -> {
				write(output, first.text(id) + secondText);
				return !second.endsConnection();
			}
			case 1 -> {
				write(output, first.text(id));
				Thread.ofVirtual().start(() -> writeLate(connection, second, secondText));
			}
			default -> write(output, first.text(id));
		}
		return true;
	}

	private void writeLate(Socket connection, Answer answer, String text) {
		try {
			// Short delays meet connections that have just been used again.
			TimeUnit.MILLISECONDS.sleep(draw(draw(MAXIMUM_DELAY_MILLIS) + 1));
			write(connection.getOutputStream(), text);
			if (answer.endsConnection()) {
				connection.shutdownOutput();
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// An answer is written as a whole: the second one doesn't interrupt another.
	private static void write(OutputStream output, String text) throws IOException {
		synchronized (output) {
			output.write(text.getBytes(StandardCharsets.US_ASCII));
			output.flush();
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * The id that a second answer bears.
	 */
	enum Identity {

		SAME, OTHER, NONE

	}

	/**
	 * An answer.
	 *
	 * @param outcome 0 for success, 1 for a failure, 2 for a rejection
	 * @param framing 0 for a length, 1 for chunks, 2 for the end of the connection
	 * @param body the body
	 */
	record Answer(int outcome, int framing, String body) {

		int status() {
			return switch (this.outcome) {
				case 0 -> 200;
				case 1 -> 500;
				default -> 503;
			};
		}

		boolean endsConnection() {
			return this.framing == 2;
		}

		private String text(String id) {
			return "HTTP/1.1 " + status() + " Status\r\n" + (id.isEmpty() ? "" : "id: " + id + "\r\n")
					+ ((this.outcome == 2) ? "not-run: 1\r\n" : "seal: s\r\n") + switch (this.framing) {
						case 0 -> "content-length: " + this.body.length() + "\r\n\r\n" + this.body;
						case 1 -> "transfer-encoding: chunked\r\n\r\n" + Integer.toHexString(this.body.length())
								+ "\r\n" + this.body + "\r\n0\r\n\r\n";
						default -> "\r\n" + this.body;
					};
		}

	}

}
