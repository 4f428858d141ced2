package org.banyancove.standins.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;

import org.banyancove.standins.support.AbstractStandin;
import org.banyancove.standins.support.ConnectionDropException;
import org.banyancove.standins.support.Exchange;
import org.banyancove.standins.support.Json;
import org.banyancove.standins.support.LaggingView;

/**
 * A model engine: continuous batching at a configured token rate, a prefix cache,
 * reattachable streams, KV cache export and import, delayed load reports, and orders.
 */
public final class EngineStandin extends AbstractStandin<EngineFault> {

	private static final Duration MINIMUM_SAMPLE_PERIOD = Duration.ofMillis(20);

	private final EngineOptions options;

	private final Orders orders;

	private final GenerationRunner runner;

	private final LaggingView<LoadSample> load;

	/**
	 * Creates the engine and binds its address.
	 * @param options the options
	 */
	public EngineStandin(EngineOptions options) {
		super(options.address(), EngineFault.class);
		this.options = options;
		this.orders = new Orders(options.checkFence(), new ModelLoader(options.weightStore()));
		this.runner = new GenerationRunner(options, faults(), this::crash);
		this.load = new LaggingView<>(options.reportLag(), options.clock(), new LoadSample(0, 0, 0, 0));
	}

	@Override
	public EngineStandin start() {
		super.start();
		execute(this::sampleLoad);
		return this;
	}

	/**
	 * Returns the number of tokens computed here that an earlier attempt had computed.
	 * @return the number of tokens
	 */
	public long recomputedTokens() {
		return this.runner.recomputedTokens();
	}

	@Override
	protected void serve(Exchange exchange) throws IOException, InterruptedException {
		switch (exchange.route()) {
			case "POST /v1/chat/completions" -> chat(exchange);
			case "GET /v1/load" -> sendLoad(exchange);
			case "GET /v1/cache-events" ->
				exchange.send(200, this.runner.cacheEvents().after(exchange.query("after", 0)));
			case "GET /v1/orders" -> exchange.send(200, this.orders.state());
			case "POST /v1/orders" -> applyOrder(exchange);
			case "GET /health" -> sendHealth(exchange);
			case "GET /standin/tokens" ->
				exchange.send(200, new TokenCounts(this.runner.generatedTokens(), this.runner.recomputedTokens()));
			default -> serveGeneration(exchange);
		}
	}

	private void crash() {
		Runnable onCrash = this.options.onCrash();
		if (onCrash != null) {
			onCrash.run();
		}
		close();
	}

	private void serveGeneration(Exchange exchange) throws IOException, InterruptedException {
		String requestId = exchange.segment(2);
		String route = exchange.route().replace("/" + requestId, "");
		if (route.equals("PUT /v1/kv")) {
			this.runner.kvStore().put(requestId, exchange.body());
			exchange.send(204, "application/octet-stream", new byte[0]);
			return;
		}
		Generation generation = this.runner.find(requestId);
		if (generation == null) {
			exchange.sendError(404, "Unknown stream or call " + exchange.route());
			return;
		}
		switch (route) {
			case "GET /v1/streams" ->
				attach(exchange, generation, Math.toIntExact(exchange.query("from", generation.firstOffset())));
			case "DELETE /v1/streams" -> {
				generation.cancel();
				exchange.send(204, "application/json", new byte[0]);
			}
			case "GET /v1/kv" ->
				exchange.send(200, "application/octet-stream", this.runner.kvStore().export(generation));
			default -> exchange.sendError(404, "Unknown call " + exchange.route());
		}
	}

	private void chat(Exchange exchange) throws IOException, InterruptedException {
		if (faults().tryTrigger(EngineFault.CLOSE_AFTER_BODY)) {
			throw new ConnectionDropException("Fault CLOSE_AFTER_BODY: connection closed after reading the body");
		}
		if (faults().tryTrigger(EngineFault.REFUSE_CHATS)) {
			exchange.sendError(503, "Switched to refuse", Duration.ofSeconds(1));
			return;
		}
		ChatRequest request = Json.CHAT_MAPPER.readValue(exchange.body(), ChatRequest.class);
		if (!this.orders.serves(request.model())) {
			exchange.sendError(404, "Model '" + request.model() + "' is not loaded");
			return;
		}
		String requestId = exchange.header("X-Request-Id", UUID.randomUUID().toString());
		int attempt = Integer.parseInt(exchange.header("X-Attempt", "1"));
		int priority = Integer.parseInt(exchange.header("X-Priority", "0"));
		runs().count(requestId, exchange.body());
		Generation generation = this.runner.accept(requestId, attempt, request);
		execute(() -> this.runner.run(generation, priority));
		AnswerWriter writer = new AnswerWriter(exchange, generation, faults());
		if (request.stream()) {
			writer.writeEvents(generation.firstOffset());
		}
		else {
			writer.writeUnstreamed();
		}
	}

	private void attach(Exchange exchange, Generation generation, int from) throws IOException, InterruptedException {
		if (from < generation.firstOffset()) {
			exchange.sendError(416, "The stream began at offset " + generation.firstOffset());
			return;
		}
		new AnswerWriter(exchange, generation, faults()).writeEvents(from);
	}

	private void applyOrder(Exchange exchange) throws IOException, InterruptedException {
		Orders.OrderState order = exchange.json(Orders.OrderState.class);
		if (!this.orders.accept(order)) {
			exchange.send(409, this.orders.state());
			return;
		}
		exchange.send(200, order);
		this.orders.load(order);
	}

	private void sendHealth(Exchange exchange) throws IOException {
		if (faults().tryTrigger(EngineFault.REFUSE_HEALTH)) {
			exchange.sendError(503, "Switched to refuse");
			return;
		}
		exchange.send(200, Map.of("status", "up"));
	}

	private void sendLoad(Exchange exchange) throws IOException {
		LaggingView.Stamped<LoadSample> visible = this.load.get();
		LoadSample sample = visible.value();
		exchange.send(200, new LoadReport(visible.at().toString(), sample.running(), sample.queued(),
				sample.tokensPerSecond(), sample.kvUsedTokens(), this.options.prefixCacheTokens()));
	}

	private void sampleLoad() {
		Duration halfLag = this.options.reportLag().dividedBy(2);
		Duration period = (halfLag.compareTo(MINIMUM_SAMPLE_PERIOD) > 0) ? halfLag : MINIMUM_SAMPLE_PERIOD;
		long previousTokens = 0;
		try {
			while (!Thread.currentThread().isInterrupted()) {
				Thread.sleep(period);
				long generatedTokens = this.runner.generatedTokens();
				double rate = (generatedTokens - previousTokens) * 1e9 / period.toNanos();
				previousTokens = generatedTokens;
				this.load
					.set(new LoadSample(this.runner.running(), this.runner.queued(), rate, this.runner.kvUsedTokens()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record LoadSample(int running, int queued, double tokensPerSecond, int kvUsedTokens) {
	}

	private record LoadReport(String asOf, int running, int queued, double tokensPerSecond, int kvUsedTokens,
			int kvLimitTokens) {
	}

	private record TokenCounts(long generatedTokens, long recomputedTokens) {
	}

}
