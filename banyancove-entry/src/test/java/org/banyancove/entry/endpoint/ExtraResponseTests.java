package org.banyancove.entry.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.Body;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.AttemptRequest;
import org.banyancove.core.entry.AttemptResult;
import org.banyancove.core.entry.EntryCommand;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.entry.endpoint.ExtraResponseServer.Script;
import org.banyancove.entry.endpoint.ExtraResponseServer.Timing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a call gets the response to its own request only, whatever an endpoint sends
 * in addition.
 */
class ExtraResponseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	/** The time in which each call ends. */
	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(1);

	/** The extra responses, of which each beginning is sent. */
	private static final List<String> EXTRA_RESPONSES = List.of(
			"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nload: 1,2,3\r\ncontent-length: 5\r\n\r\nextra",
			"HTTP/1.1 200 OK\r\ndate: Sat, 05 Dec\r\nvia: 1.1 a\r\ncontent-length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nserver: s\r\n\r\n5\r\nextra\r\n0\r\n\r\n");

	private static final List<String> RESPONSES = List.of("HTTP/1.1 500 Failed\r\ncontent-length: 8\r\n\r\nown body",
			"HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n8\r\nown body\r\n0\r\n\r\n",
			"HTTP/1.1 500 Failed\r\nconnection: close\r\n\r\nown body");

	private static final String FIRST_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst body";

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private final ExtraResponseServer server = new ExtraResponseServer();

	private final Map<RequestId, CompletableFuture<EntryEvent>> results = new ConcurrentHashMap<>();

	private final List<String> pieces = new CopyOnWriteArrayList<>();

	private final EndpointClient client = new EndpointClient(TIMEOUT, TIMEOUT, this::post);

	ExtraResponseTests() throws IOException {
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.server.close();
	}

	// Guards against a success whose status is that of an extra response and whose body
	// is that of the next one, a failure.
	@ParameterizedTest
	@CsvSource({ "SAME_SEGMENT, 0", "IDLE, 1", "BEFORE_NEXT_RESPONSE, 2" })
	void callGetsItsOwnResponseAfterTheBeginningOfAnExtraOne(Timing timing, long seed) throws Exception {
		SplittableRandom random = new SplittableRandom(seed);
		List<String> wrong = new ArrayList<>();
		int number = 0;
		for (String extra : EXTRA_RESPONSES) {
			for (int end = 1; end <= extra.length(); end++) {
				String response = RESPONSES.get(random.nextInt(RESPONSES.size()));
				this.server.play(new Script(FIRST_RESPONSE, extra.substring(0, end), response, timing));
				check(call("first" + number), "200 first body", extra.substring(0, end), wrong);
				if (timing == Timing.IDLE) {
					TimeUnit.MILLISECONDS.sleep(2 + random.nextInt(4));
				}
				check(call("next" + number++), response.substring(9, 12) + " own body", extra.substring(0, end), wrong);
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a call that is answered although its response ended within its head
	// or body.
	@Test
	void responseThatEndsEarlyIsNoAnswer() throws Exception {
		String whole = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 8\r\n\r\nown body";
		List<String> wrong = new ArrayList<>();
		for (int end = 0; end < whole.length(); end++) {
			this.server.play(new Script("", "", whole.substring(0, end), Timing.END_OF_CONNECTION));
			check(call("next" + end), "Broken", whole.substring(0, end), wrong);
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a stream whose tokens are those of a late response to another
	// request.
	@Test
	void streamIsNoLateResponseToAnEarlierRequest() throws Exception {
		this.server.play(new Script(stream("first"), stream("late"), stream("own"), Timing.BEFORE_NEXT_RESPONSE));
		generate("first");
		generate("next");
		assertThat(this.pieces).containsExactly("first: first", "next: own");
	}

	// Guards against the import of another request's KV cache, and against a failed
	// import that counts as a success.
	@Test
	void moveOfAKvCacheUsesNoLateResponse() throws Exception {
		String late = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nlate cache";
		String own = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nown cache";
		this.server.play(new Script(FIRST_RESPONSE, late, own, Timing.BEFORE_NEXT_RESPONSE));
		try (ExtraResponseServer target = new ExtraResponseServer()) {
			target.play(new Script(FIRST_RESPONSE, late, RESPONSES.getFirst(), Timing.BEFORE_NEXT_RESPONSE));
			move("first", target);
			assertThat(move("next", target)).extracting("imported").isEqualTo(false);
			assertThat(target.requests()).last().asString().contains("/v1/kv/next").endsWith("own cache");
		}
	}

	// Guards against the import of a KV cache whose connection ended early: without a
	// length or chunks its end can't be told from its interruption.
	@ParameterizedTest
	@CsvSource({ "'', false", "'content-length: 3', true" })
	void kvCacheIsMovedOnlyIfItsEndIsStated(String header, boolean imported) throws Exception {
		String own = "HTTP/1.1 200 OK\r\n" + header + (header.isEmpty() ? "" : "\r\n") + "\r\nown";
		this.server.play(new Script("", "", own, Timing.END_OF_CONNECTION));
		try (ExtraResponseServer target = new ExtraResponseServer()) {
			target.play(new Script("", "", FIRST_RESPONSE, Timing.IDLE));
			assertThat(move("next", target)).extracting("imported").isEqualTo(imported);
		}
	}

	private static String stream(String token) {
		String events = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + token
				+ "\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
		return "HTTP/1.1 200 OK\r\ncontent-length: " + events.length() + "\r\n\r\n" + events;
	}

	private String call(String id) throws Exception {
		AttemptRequest request = new AttemptRequest.PlainCall("POST", "/" + id, "text/plain", Body.of("x"), null, true);
		return switch (attempt(id, request)) {
			case AttemptResult.Answered answered -> answered.status() + " " + answered.body().text();
			case AttemptResult result -> result.getClass().getSimpleName();
		};
	}

	private void generate(String id) throws Exception {
		attempt(id, new AttemptRequest.Generate(Body.of("{\"model\":\"m\"}"), 0));
	}

	private AttemptResult attempt(String id, AttemptRequest content) throws Exception {
		RequestId request = new RequestId(id);
		CompletableFuture<EntryEvent> result = new CompletableFuture<>();
		this.results.put(request, result);
		this.client.start(new Attempt(request, 1, ENDPOINT, this.server.address(), content));
		EntryEvent noEnd = new EntryEvent.AttemptEnded(request, 1, new AttemptResult.Refused(0, "no end"));
		return ((EntryEvent.AttemptEnded) result
			.completeOnTimeout(noEnd, MAXIMUM_WAIT.toMillis(), TimeUnit.MILLISECONDS)
			.get()).result();
	}

	private EntryEvent move(String id, ExtraResponseServer target) throws Exception {
		RequestId request = new RequestId(id);
		CompletableFuture<EntryEvent> result = new CompletableFuture<>();
		this.results.put(request, result);
		this.client.moveCache(new EntryCommand.MoveCache(request, this.server.address(), ENDPOINT, target.address()));
		return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static void check(String result, String own, String sent, List<String> wrong) {
		if (!result.equals(own)) {
			wrong.add(result + " instead of " + own + " after " + sent);
		}
	}

	private void post(EntryEvent event) {
		switch (event) {
			case EntryEvent.AttemptEnded ended -> complete(ended.request(), event);
			case EntryEvent.CacheMoved moved -> complete(moved.request(), event);
			case EntryEvent.PieceArrived piece -> this.pieces.add(piece.request() + ": " + piece.text());
			default -> throw new IllegalStateException("event must belong to a call: " + event);
		}
	}

	private void complete(RequestId request, EntryEvent event) {
		CompletableFuture<EntryEvent> result = this.results.get(request);
		if (result != null) {
			result.complete(event);
		}
	}

}
