package org.banyancove.gateway.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

import org.jspecify.annotations.Nullable;

/**
 * Callers that take up their broken streams again at other gateways.
 */
final class ResumingCallers implements AutoCloseable {

	private static final int DEADLINE_MILLIS = 2000;

	private static final int MAXIMUM_TRIES = 3;

	private static final int PAUSE_MILLIS = 20;

	private final GatewayFleet fleet;

	private final AtomicLong identifiers = new AtomicLong();

	private final AtomicLong open = new AtomicLong();

	private final ConcurrentLinkedQueue<Stream> streams = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> refusals = new ConcurrentHashMap<>();

	private final Random random;

	private volatile boolean closed;

	ResumingCallers(GatewayFleet fleet, Duration interval, long seed) {
		this.fleet = fleet;
		this.random = new Random(seed);
		Thread.ofVirtual().start(() -> beginEach(interval));
	}

	private void beginEach(Duration interval) {
		try {
			while (!this.closed) {
				int first = this.random.nextInt(this.fleet.nodes().size());
				this.open.incrementAndGet();
				Thread.ofVirtual().start(() -> {
					this.streams.add(run(this.fleet.nodes().get(first)));
					this.open.decrementAndGet();
				});
				TimeUnit.NANOSECONDS.sleep(interval.toNanos());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Runs one stream, whose first try goes to a gateway, to its end. */
	Stream run(GatewayFleet.Node first) {
		return run(first, (attempt) -> {
			List<GatewayFleet.Node> others = new ArrayList<>(this.fleet.nodes());
			others.remove(first);
			return others.get(ThreadLocalRandom.current().nextInt(others.size()));
		});
	}

	/** Runs one stream, each further try of which goes to a chosen gateway. */
	Stream run(GatewayFleet.Node first, IntFunction<GatewayFleet.Node> next) {
		Stream stream = new Stream(System.nanoTime());
		GatewayFleet.Node node = first;
		for (int attempt = 1; attempt <= MAXIMUM_TRIES && !stream.complete; attempt++) {
			boolean resuming = !stream.versions.isEmpty();
			String id = "r" + this.identifiers.incrementAndGet();
			int before = stream.versions.size();
			stream.answerStart = before;
			String refusal = tryOnce(node, id, stream);
			if (refusal != null) {
				this.refusals.merge((resuming ? "resumed " : "new ") + refusal, 1, Integer::sum);
			}
			if (resuming) {
				stream.takenUp++;
				stream.wentOn += (stream.versions.size() > before || stream.complete) ? 1 : 0;
			}
			else if (!stream.versions.isEmpty()) {
				stream.firstId = id;
			}
			node = next.apply(attempt);
			pause();
		}
		return stream;
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Returns the refusal, or null if the answer began.
	private static @Nullable String tryOnce(GatewayFleet.Node node, String id, Stream stream) {
		String resumption = (stream.firstId == null) ? ""
				: "resumes: " + stream.firstId + "\r\nlast-event: " + stream.versions.size() + "\r\n";
		try (Socket connection = new Socket()) {
			connection.connect(node.callers(), DEADLINE_MILLIS);
			connection.setSoTimeout(DEADLINE_MILLIS);
			connection.getOutputStream()
				.write(("POST /resumed/x HTTP/1.1\r\nhost: host\r\nid: " + id + "\r\ndeadline-ms: " + DEADLINE_MILLIS
						+ "\r\n" + resumption + "connection: close\r\ncontent-length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			return read(
					new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII)),
					stream);
		}
		catch (IOException ex) {
			return null;
		}
	}

	private static @Nullable String read(BufferedReader input, Stream stream) throws IOException {
		String status = input.readLine();
		if (status == null) {
			return null;
		}
		boolean served = status.contains(" 200 ");
		int event = 0;
		String text = "";
		for (String line = input.readLine(); line != null; line = input.readLine()) {
			if (line.startsWith("id: ") && !line.startsWith("id: r")) {
				event = Integer.parseInt(line.substring(4));
			}
			else if (line.startsWith("data: ")) {
				text = line.substring(6);
			}
			else if (line.isEmpty() && event > 0) {
				stream.eventReceived(event, text);
				event = 0;
			}
			else if (line.equals("0") && served) {
				stream.complete = true;
				return null;
			}
			else if (line.startsWith("{")) {
				return status + " " + line;
			}
		}
		return null;
	}

	/** Returns the refusals of new and of resumed streams, by status and body. */
	Map<String, Integer> refusals() {
		return this.refusals;
	}

	/** Stops beginning streams and returns all of them once they have ended. */
	List<Stream> end() throws InterruptedException {
		this.closed = true;
		TimeUnit.MILLISECONDS.sleep(100);
		while (this.open.get() > 0) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return List.copyOf(this.streams);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * A stream as its caller received it, over all tries.
	 */
	static final class Stream {

		private final long beganAt;

		private final List<String> versions = new ArrayList<>();

		private @Nullable String firstId;

		private boolean complete;

		private boolean outOfOrder;

		private boolean mixedWithinOneAnswer;

		private int answerStart;

		private int takenUp;

		private int wentOn;

		Stream(long beganAt) {
			this.beganAt = beganAt;
		}

		private void eventReceived(int event, String version) {
			this.outOfOrder |= event != this.versions.size() + 1;
			this.mixedWithinOneAnswer |= this.versions.size() > this.answerStart
					&& !this.versions.getLast().equals(version);
			this.versions.add(version);
		}

		long beganAt() {
			return this.beganAt;
		}

		boolean began() {
			return !this.versions.isEmpty();
		}

		boolean mixed() {
			return this.versions.stream().distinct().count() > 1;
		}

		boolean mixedWithinOneAnswer() {
			return this.mixedWithinOneAnswer;
		}

		boolean outOfOrder() {
			return this.outOfOrder;
		}

		boolean complete() {
			return this.complete;
		}

		int takenUp() {
			return this.takenUp;
		}

		int wentOn() {
			return this.wentOn;
		}

		List<String> versions() {
			return this.versions;
		}

		@Override
		public String toString() {
			return this.firstId + " " + this.versions + (this.complete ? " complete" : "");
		}

	}

}
