package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Callers that send requests to every gateway of a fleet at a fixed rate and never retry.
 * Most of them may come to one gateway for a while.
 */
final class FleetCallers implements AutoCloseable {

	private static final int DEADLINE_MILLIS = 2000;

	private static final List<String> PATHS = List.of("POST /once/", "GET /again/", "POST /stream/");

	private final ConcurrentLinkedQueue<FirstTry> firstTries = new ConcurrentLinkedQueue<>();

	private final AtomicLong identifiers = new AtomicLong();

	private final AtomicLong ended = new AtomicLong();

	private volatile @Nullable Crowd crowd;

	private volatile boolean closed;

	FleetCallers(GatewayFleet fleet, Duration interval) {
		for (GatewayFleet.Node node : fleet.nodes()) {
			Thread.ofVirtual().start(() -> callEach(node, interval));
		}
	}

	private void callEach(GatewayFleet.Node node, Duration interval) {
		try {
			while (!this.closed) {
				Thread.ofVirtual().start(() -> call(node));
				TimeUnit.NANOSECONDS.sleep(interval.toNanos());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private FirstTry call(GatewayFleet.Node usual) {
		GatewayFleet.Node node = destination(usual);
		long number = this.identifiers.incrementAndGet();
		String path = PATHS.get((int) (number % PATHS.size()));
		String id = "r" + number;
		long sentAt = System.nanoTime();
		String response;
		try (Socket connection = new Socket()) {
			connection.connect(node.callers(), DEADLINE_MILLIS);
			connection.setSoTimeout(DEADLINE_MILLIS);
			connection.getOutputStream()
				.write((path + "x HTTP/1.1\r\nhost: host\r\nid: " + id + "\r\ndeadline-ms: " + DEADLINE_MILLIS
						+ "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			response = read(connection.getInputStream());
		}
		catch (IOException ex) {
			response = "";
		}
		FirstTry firstTry = new FirstTry(node, path, id, sentAt, Duration.ofNanos(System.nanoTime() - sentAt),
				response);
		this.firstTries.add(firstTry);
		this.ended.incrementAndGet();
		return firstTry;
	}

	private GatewayFleet.Node destination(GatewayFleet.Node usual) {
		Crowd current = this.crowd;
		return (current != null && ThreadLocalRandom.current().nextDouble() < current.share()) ? current.node() : usual;
	}

	/** Lets a share of all requests come to one gateway. */
	void crowd(GatewayFleet.Node node, double share) {
		this.crowd = new Crowd(node, share);
	}

	private static String read(InputStream input) throws IOException {
		return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
	}

	/** Returns the requests that were sent within a time, once all of them have ended. */
	List<FirstTry> sentWithin(Duration time) throws InterruptedException {
		long start = System.nanoTime();
		TimeUnit.NANOSECONDS.sleep(time.toNanos());
		long end = System.nanoTime();
		long begun = this.identifiers.get();
		while (this.ended.get() < begun) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return new ArrayList<>(
				this.firstTries.stream().filter((each) -> each.sentAt() >= start && each.sentAt() < end).toList());
	}

	/** Waits until every gateway serves requests. */
	void awaitServed(GatewayFleet fleet) throws InterruptedException {
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			executor
				.invokeAll(fleet.nodes().stream().map((node) -> Executors.callable(() -> awaitServed(node))).toList());
		}
	}

	private void awaitServed(GatewayFleet.Node node) {
		for (int attempt = 0; attempt < 200 && !call(node).served(); attempt++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
		}
	}

	static double servedShare(List<FirstTry> tries, Predicate<FirstTry> included) {
		return tries.stream().filter(included).mapToInt((each) -> each.served() ? 1 : 0).average().orElse(1);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * A gateway to which most requests come.
	 *
	 * @param node the gateway
	 * @param share the share of all requests, from 0 to 1
	 */
	private record Crowd(GatewayFleet.Node node, double share) {
	}

	/**
	 * The first try of a request.
	 *
	 * @param node the gateway it was sent to
	 * @param path the method and path
	 * @param id the request id
	 * @param sentAt when it was sent, in ns
	 * @param elapsed the time to the end of its response
	 * @param response the whole response, empty if there was none
	 */
	record FirstTry(GatewayFleet.Node node, String path, String id, long sentAt, Duration elapsed, String response) {

		boolean served() {
			boolean complete = this.path.contains("/stream/") ? this.response.endsWith("0\r\n\r\n")
					: this.response.endsWith(this.id);
			return this.response.startsWith("HTTP/1.1 200 ") && complete;
		}

		/** Returns whether the gateway closed the connection without a response. */
		boolean closed() {
			return this.response.isEmpty() && this.elapsed.toMillis() < DEADLINE_MILLIS;
		}

		boolean late() {
			return this.elapsed.compareTo(GatewayFleet.LATENCY_TARGET) > 0;
		}

		boolean rejected() {
			return this.response.startsWith("HTTP/1.1 503 ")
					&& this.response.toLowerCase(Locale.ROOT).contains("retry-after: ");
		}

	}

}
