package org.banyancove.entry.endpoint;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An HTTP server that sends bytes that belong to no request after its response to a
 * request whose path, id or body contains {@value #FIRST}.
 */
final class ExtraResponseServer implements AutoCloseable {

	static final String FIRST = "first";

	private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private volatile Script script = new Script("", "", "", Timing.SAME_SEGMENT);

	ExtraResponseServer() throws IOException {
		this.executor.execute(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	List<String> requests() {
		return this.requests;
	}

	void play(Script next) {
		this.script = next;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.executor.shutdownNow();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				this.executor.execute(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Expected: the test closed the server socket.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream());
			OutputStream output = socket.getOutputStream();
			String pending = "";
			for (String request = read(input, output); !request.isEmpty(); request = read(input, output)) {
				this.requests.add(request);
				Script current = this.script;
				if (!request.contains(FIRST)) {
					write(output, pending + current.response());
					if (current.timing() == Timing.END_OF_CONNECTION
							|| current.response().contains("connection: close")) {
						return;
					}
					pending = "";
					continue;
				}
				switch (current.timing()) {
					case SAME_SEGMENT -> write(output, current.firstResponse() + current.extra());
					case IDLE -> {
						write(output, current.firstResponse());
						Thread.sleep(1);
						write(output, current.extra());
					}
					case BEFORE_NEXT_RESPONSE -> {
						write(output, current.firstResponse());
						pending = current.extra();
					}
					case END_OF_CONNECTION -> write(output, current.firstResponse());
				}
			}
		}
		catch (IOException ex) {
			// Expected: the client closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String read(InputStream input, OutputStream output) throws IOException {
		StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			request.append((char) next);
		}
		String head = request.toString().toLowerCase(Locale.ROOT);
		if (head.contains("expect: 100-continue")) {
			write(output, "HTTP/1.1 100 Continue\r\n\r\n");
		}
		int field = head.indexOf("content-length: ");
		if (field >= 0) {
			int from = field + "content-length: ".length();
			byte[] body = input.readNBytes(Integer.parseInt(head.substring(from, head.indexOf('\r', from))));
			request.append(new String(body, StandardCharsets.ISO_8859_1));
		}
		return request.toString();
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		output.flush();
	}

	/**
	 * When the extra bytes are sent.
	 */
	enum Timing {

		/** In the segment of the first response. */
		SAME_SEGMENT,

		/** On the idle connection. */
		IDLE,

		/** In the segment of the next response, before it. */
		BEFORE_NEXT_RESPONSE,

		/** Never; the connection ends after the next response. */
		END_OF_CONNECTION

	}

	/**
	 * What the server sends.
	 *
	 * @param firstResponse the response to a request that contains {@value #FIRST}
	 * @param extra the bytes after it that belong to no request
	 * @param response the response to any other request
	 * @param timing when the extra bytes are sent
	 */
	record Script(String firstResponse, String extra, String response, Timing timing) {

	}

}
