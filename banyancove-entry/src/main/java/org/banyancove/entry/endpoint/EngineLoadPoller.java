package org.banyancove.entry.endpoint;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyancove.core.EndpointId;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.routing.CacheChange;
import org.banyancove.core.routing.LoadReport;
import org.banyancove.core.routing.PromptPrefix;
import org.banyancove.entry.EventSink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the load reports and cache events of engines. An engine has at most one read of
 * each in progress, whose timeout covers the complete response.
 */
public final class EngineLoadPoller {

	/** Maximum size of one response, in bytes. */
	static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;

	private static final Logger logger = LoggerFactory.getLogger(EngineLoadPoller.class);

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<EndpointId, Engine> engines = new ConcurrentHashMap<>();

	private final HttpClient client;

	private final Duration timeout;

	private final EventSink events;

	/**
	 * Creates the poller.
	 * @param timeout the timeout of one read
	 * @param events the tick loop
	 */
	public EngineLoadPoller(Duration timeout, EventSink events) {
		this.client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(timeout).build();
		this.timeout = timeout;
		this.events = events;
	}

	/**
	 * Starts to poll.
	 * @param interval the time between reads of one engine
	 * @param timer schedules the reads
	 */
	public void start(Duration interval, ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::pollAll, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets the engines to poll.
	 * @param addresses the addresses by endpoint
	 */
	public void setEngines(Map<EndpointId, String> addresses) {
		this.engines.keySet().retainAll(addresses.keySet());
		addresses.forEach((id, address) -> this.engines.computeIfAbsent(id, (key) -> new Engine(id, address)));
	}

	private void pollAll() {
		this.engines.values().forEach(this::poll);
	}

	private void poll(Engine engine) {
		get(engine, engine.readsLoad, "/v1/load",
				(node) -> this.events.post(new EntryEvent.LoadReported(engine.id, parseReport(node))));
		get(engine, engine.readsCacheEvents, "/v1/cache-events?after=" + engine.lastCacheEventSequence,
				(node) -> postCacheEvents(engine, node));
	}

	private void get(Engine engine, AtomicBoolean inProgress, String path, NodeReader reader) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + engine.address + path)).GET().build();
		if (!inProgress.compareAndSet(false, true)) {
			return;
		}
		CompletableFuture<HttpResponse<String>> exchange = this.client.sendAsync(request,
				HttpResponse.BodyHandlers.limiting(HttpResponse.BodyHandlers.ofString(), MAXIMUM_RESPONSE_BYTES));
		exchange.copy().orTimeout(this.timeout.toMillis(), TimeUnit.MILLISECONDS).whenComplete((response, failure) -> {
			inProgress.set(false);
			if (failure != null) {
				exchange.cancel(true);
			}
			if (failure != null || response.statusCode() != OK) {
				logger.debug("Failed to read {} from endpoint {}", path, engine.id, failure);
				return;
			}
			try {
				reader.read(this.mapper.readTree(response.body()));
			}
			catch (IOException | RuntimeException ex) {
				logger.info("Malformed response to {} from endpoint {}", path, engine.id, ex);
			}
		});
	}

	private void postCacheEvents(Engine engine, JsonNode node) {
		for (JsonNode event : node.path("events")) {
			long sequence = event.path("sequence").asLong();
			engine.lastCacheEventSequence = Math.max(engine.lastCacheEventSequence, sequence);
			boolean stored = event.path("kind").asText().equals("stored");
			CacheChange.Kind kind = stored ? CacheChange.Kind.STORED : CacheChange.Kind.EVICTED;
			PromptPrefix prefix = PromptPrefix.ofHex(event.path("prefix").asText(), event.path("tokens").asInt());
			this.events.post(new EntryEvent.CacheChanged(engine.id, new CacheChange(sequence, kind, prefix)));
		}
	}

	private static LoadReport parseReport(JsonNode node) {
		return new LoadReport(Instant.parse(node.path("asOf").asText()), node.path("running").asInt(),
				node.path("queued").asInt(), node.path("tokensPerSecond").asDouble(),
				node.path("kvUsedTokens").asLong(), node.path("kvLimitTokens").asLong());
	}

	/**
	 * Processes the JSON of one response.
	 */
	@FunctionalInterface
	private interface NodeReader {

		void read(JsonNode node);

	}

	/**
	 * One polled engine.
	 */
	private static final class Engine {

		private final EndpointId id;

		private final String address;

		private final AtomicBoolean readsLoad = new AtomicBoolean();

		private final AtomicBoolean readsCacheEvents = new AtomicBoolean();

		private volatile long lastCacheEventSequence = -1;

		Engine(EndpointId id, String address) {
			this.id = id;
			this.address = address;
		}

	}

}
