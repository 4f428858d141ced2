package org.banyancove.standins.engine;

import java.io.IOException;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyancove.standins.support.StandinClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatIOException;

class EngineStandinTests {

	private static final TokenText TEXT = new TokenText("plans", List.of(new ChatRequest.Message("user", "feed plan")));

	private final EngineStandin engine = new EngineStandin(EngineOptions.defaults()).start();

	private final StandinClient client = new StandinClient(this.engine.address());

	@AfterEach
	void close() {
		this.engine.close();
	}

	@Test
	void respondsWithoutStreaming() throws Exception {
		JsonNode answer = this.client.json("POST", "/v1/chat/completions", chat(5, false, ""));
		assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo(TEXT.text(0, 5));
		assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(5);
	}

	@Test
	void streamsEventsAndAllowsReattachment() throws Exception {
		String events = this.client.send("POST", "/v1/chat/completions", chat(3, true, ""), "X-Request-Id", "r").body();
		assertThat(events).startsWith("id: 1\ndata: ").contains("id: 3\n").endsWith("data: [DONE]\n\n");
		assertThat(this.client.send("GET", "/v1/streams/r?from=2", "").body()).startsWith("id: 3\ndata: ")
			.contains(TEXT.piece(2))
			.endsWith("data: [DONE]\n\n");
	}

	@Test
	void resumesPartialResponseOfAnotherEngine() throws Exception {
		String resume = ",\"resume\":{\"offset\":3,\"text\":\"" + TEXT.text(0, 3) + "\"}";
		JsonNode answer = this.client.json("POST", "/v1/chat/completions", chat(5, false, resume));
		assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo(TEXT.text(3, 5));
		assertThat(this.engine.recomputedTokens()).isEqualTo(5);
	}

	// A stream is cut, truncated, duplicated or reordered while the engine continues to
	// generate. Another connection can still read the complete text.
	@ParameterizedTest
	@CsvSource({ "cutStreams, 1", "truncateStreams, 1", "repeatPieces, 4", "reorderPieces, 4" })
	void injectsStreamFaultAndServesCompleteStreamAgain(String fault, int pieces) throws Exception {
		this.client.send("POST", "/standin/faults", "{\"" + fault + "\":1,\"afterTokens\":1}");
		String broken = bodyOrEmpty();
		assertThat(broken.lines().filter((line) -> line.startsWith("id: ")).distinct().count())
			.isLessThanOrEqualTo(pieces);
		assertThat(broken).isNotEqualTo(this.client.send("GET", "/v1/streams/r?from=0", "").body());
		assertThat(this.client.send("GET", "/v1/streams/r?from=0", "").body()).contains(TEXT.piece(3))
			.endsWith("data: [DONE]\n\n");
	}

	// The connection stays open but nothing is received, as when a middlebox has lost its
	// connection state. A new connection to the same engine works.
	@Test
	void silencesOpenConnections() throws Exception {
		this.client.send("GET", "/health", "");
		this.engine.silenceOpenConnections();
		assertThatExceptionOfType(HttpTimeoutException.class)
			.isThrownBy(() -> this.client.sendWithin(Duration.ofMillis(300), "GET", "/health", ""));
		assertThat(new StandinClient(this.engine.address()).send("GET", "/health", "").statusCode()).isEqualTo(200);
	}

	// Every engine that starts to run the prompt crashes: its other clients lose their
	// connections too, and the address no longer accepts connections.
	@Test
	void crashesOnPromptWithConfiguredWord() throws Exception {
		this.engine.faults().set(EngineFault.CRASH_ON_WORD, "plan");
		assertThatIOException().isThrownBy(() -> this.client.send("POST", "/v1/chat/completions", chat(4, true, "")));
		assertThatIOException().isThrownBy(() -> this.client.send("GET", "/health", ""));
	}

	@Test
	void resumesFromImportedKvCacheWithoutRecomputing() throws Exception {
		this.client.send("POST", "/v1/chat/completions", chat(4, false, ""), "X-Request-Id", "r");
		String exported = this.client.send("GET", "/v1/kv/r", "").body();
		try (EngineStandin other = new EngineStandin(EngineOptions.defaults()).start()) {
			StandinClient otherClient = new StandinClient(other.address());
			assertThat(otherClient.send("PUT", "/v1/kv/r", exported).statusCode()).isEqualTo(204);
			JsonNode answer = otherClient.json("POST", "/v1/chat/completions",
					chat(6, false, ",\"resume\":{\"offset\":4,\"text\":\"\"}"), "X-Request-Id", "r", "X-Attempt", "2");
			assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo(TEXT.text(4, 6));
			assertThat(other.recomputedTokens()).isZero();
		}
	}

	@ParameterizedTest
	@CsvSource({ "true, 409, new", "false, 200, old" })
	void rejectsStaleFencingTokensOnlyIfChecked(boolean checks, int status, String model) throws Exception {
		try (EngineStandin fenced = new EngineStandin(EngineOptions.defaults().withCheckFence(checks)).start()) {
			StandinClient planner = new StandinClient(fenced.address());
			planner.send("POST", "/v1/orders", "{\"fence\":7,\"models\":[\"new\"]}");
			assertThat(planner.send("POST", "/v1/orders", "{\"fence\":6,\"models\":[\"old\"]}").statusCode())
				.isEqualTo(status);
			assertThat(planner.json("GET", "/v1/orders", "").at("/models/0").asText()).isEqualTo(model);
			assertThat(planner.send("POST", "/v1/chat/completions", chat(1, false, "")).statusCode()).isEqualTo(404);
		}
	}

	private String bodyOrEmpty() throws InterruptedException {
		try {
			return this.client.send("POST", "/v1/chat/completions", chat(4, true, ""), "X-Request-Id", "r").body();
		}
		catch (IOException ex) {
			return "";
		}
	}

	private static String chat(int tokens, boolean stream, String suffix) {
		return "{\"model\":\"plans\",\"messages\":[{\"role\":\"user\",\"content\":\"feed plan\"}],\"max_tokens\":"
				+ tokens + ",\"stream\":" + stream + suffix + "}";
	}

}
