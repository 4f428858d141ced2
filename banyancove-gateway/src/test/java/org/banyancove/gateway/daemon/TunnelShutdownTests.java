package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that lead through a gateway that shuts down.
 */
class TunnelShutdownTests {

	/** The first and the last gateway are in the same data centre, so they are peers. */
	private static final int GATEWAYS = GatewayFleet.DATA_CENTERS + 1;

	private static final Duration SHUTDOWN = Duration.ofSeconds(3);

	private static final Duration TIMEOUT = Duration.ofMillis(2500);

	private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

	@AfterEach
	void stop() {
		this.callers.shutdownNow();
	}

	// Guards against requests that are cut because they were sent through a tunnel of a
	// gateway that was shutting down and could not last until their end.
	@ParameterizedTest
	@CsvSource({ "/once/, 900", "/once/, 1500", "/stream/, 900" })
	void requestSentWhileThePeerShutsDownIsServedElsewhere(String path, int millisAfterSignal) throws Exception {
		try (GatewayFleet fleet = newFleet()) {
			GatewayFleet.Node partitioned = fleet.nodes().getFirst();
			partitioned.partition().begin(Partition.Kind.RESET);
			awaitServed(partitioned);
			CompletableFuture<Void> stopped = stop(fleet.nodes().getLast());
			TimeUnit.MILLISECONDS.sleep(millisAfterSignal);
			boolean streaming = path.equals("/stream/");
			// A stream takes that time five times.
			fleet.endpoint(0).setResponseTime(Duration.ofMillis(streaming ? 470 : 2350));
			String answer = send(partitioned, path, "late");
			assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith(streaming ? "0\r\n\r\n" : "late");
			assertThat(fleet.runs()).containsEntry("late", 1);
			stopped.join();
		}
	}

	// Guards against tunnels that stay open without a request, and so keep the gateways
	// that they lead through from ending.
	@Test
	void idleTunnelsAreClosedByTheGatewayThatOpenedThem() throws Exception {
		try (GatewayFleet fleet = newFleet()) {
			GatewayFleet.Node partitioned = fleet.nodes().getFirst();
			partitioned.partition().begin(Partition.Kind.RESET);
			awaitServed(partitioned);
			TimeUnit.MILLISECONDS.sleep(2300);
			fleet.endpoint(0).countOpenConnections();
			assertThat(fleet.endpoint(0).mostOpenConnections()).isZero();
		}
	}

	private static GatewayFleet newFleet() throws Exception {
		GatewayFleet fleet = new GatewayFleet(GATEWAYS, 1, Duration.ofMillis(10));
		fleet.setShutdownTimeout(SHUTDOWN);
		fleet.configure(2, TIMEOUT);
		for (GatewayFleet.Node node : fleet.nodes()) {
			node.restart();
		}
		return fleet;
	}

	// Two of them show that the tunnel is kept.
	private static void awaitServed(GatewayFleet.Node node) throws InterruptedException {
		int served = 0;
		for (int i = 0; i < 200 && served < 2; i++) {
			served = send(node, "/again/", "warm-" + i).startsWith("HTTP/1.1 200 ") ? served + 1 : 0;
			TimeUnit.MILLISECONDS.sleep((served > 0) ? 0 : 20);
		}
		assertThat(served).isEqualTo(2);
	}

	private CompletableFuture<Void> stop(GatewayFleet.Node node) {
		return CompletableFuture.runAsync(() -> {
			try {
				node.stop();
			}
			catch (IOException | InterruptedException ex) {
				throw new CompletionException(ex);
			}
		}, this.callers);
	}

	private static String send(GatewayFleet.Node node, String path, String id) {
		try (Socket connection = new Socket()) {
			connection.connect(node.callers());
			connection.setSoTimeout(10_000);
			RawHttp.write(connection.getOutputStream(), "POST " + path + "x HTTP/1.1\r\nhost: host\r\nid: " + id
					+ "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
			return new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

}
