package org.banyancove.gateway.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that callers get the answers to their own requests from endpoints that answer
 * twice.
 */
class DuplicateAnswerTests {

	private static final int CALLERS = 12;

	private static final Duration TIME = Duration.ofSeconds(4);

	// Guards against a late second answer that is mistaken for the answer to another
	// request, or to a further attempt of the same one.
	@ParameterizedTest
	@CsvSource({ "SAME, false, 1", "OTHER, false, 2", "NONE, false, 3", "SAME, true, 4", "OTHER, true, 5",
			"NONE, true, 6" })
	void callersGetTheAnswersToTheirOwnRequests(StutteringEndpoint.Identity identity, boolean tunnelled, long seed)
			throws Exception {
		Map<String, String> wrong = new ConcurrentHashMap<>();
		Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
		try (GatewayFleet fleet = new GatewayFleet(tunnelled ? 2 : 1, 0, Duration.ZERO);
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<StutteringEndpoint> endpoints = new ArrayList<>();
			for (int i = 0; i < 2; i++) {
				endpoints.add(new StutteringEndpoint(10 * seed + i, identity));
				fleet.list(i, endpoints.get(i).address(), "v1", 1, false);
			}
			TimeUnit.SECONDS.sleep(2);
			if (tunnelled) {
				fleet.nodes().getFirst().partition().begin(Partition.Kind.REFUSE_NEW);
			}
			long end = System.nanoTime() + TIME.toNanos();
			for (int i = 0; i < CALLERS; i++) {
				int number = i;
				callers.execute(() -> {
					for (int request = 0; System.nanoTime() < end; request++) {
						String id = number + "-" + request;
						check(id,
								call(fleet.nodes().getFirst().callers(), id, (request % 2 == 0) ? "/once/" : "/again/"),
								endpoints, wrong, statuses);
					}
				});
			}
			callers.shutdown();
			callers.awaitTermination(20, TimeUnit.SECONDS);
			for (StutteringEndpoint endpoint : endpoints) {
				endpoint.close();
			}
		}
		assertThat(wrong).isEmpty();
		assertThat(statuses.getOrDefault(200, 0)).isGreaterThan(20);
	}

	private static void check(String id, String answer, List<StutteringEndpoint> endpoints, Map<String, String> wrong,
			Map<Integer, Integer> statuses) {
		int status = answer.isEmpty() ? 0 : Integer.parseInt(answer.split(" ")[1]);
		statuses.merge(status, 1, Integer::sum);
		List<StutteringEndpoint.Answer> given = endpoints.stream()
			.map((endpoint) -> endpoint.firstAnswers().get(id))
			.filter((each) -> each != null)
			.toList();
		boolean sealed = answer.contains("seal: s");
		if (sealed && given.stream().noneMatch((each) -> each.status() == status && answer.endsWith(each.body()))) {
			wrong.put(id, status + " " + answer.substring(Math.max(0, answer.length() - 20)) + " for " + given);
		}
		else if (status == 503 && given.stream().anyMatch((each) -> each.outcome() != 2)) {
			wrong.put(id, "rejected, " + given);
		}
	}

	private static String call(InetSocketAddress gateway, String id, String path) {
		try (Socket connection = new Socket()) {
			connection.connect(gateway);
			connection.setSoTimeout(10_000);
			connection.getOutputStream()
				.write(("POST " + path + "x HTTP/1.1\r\nhost: host\r\nid: " + id
						+ "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			return new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		catch (IOException ex) {
			return "";
		}
	}

}
