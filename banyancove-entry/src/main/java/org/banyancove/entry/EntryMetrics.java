package org.banyancove.entry;

import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.entry.EntryCore;
import org.banyancove.core.stream.StreamMove;
import org.banyancove.entry.caller.CallerConnections;

/**
 * The metrics of an entry, read from the core on each scrape.
 */
final class EntryMetrics {

	private final EntryCore core;

	private final EntryLoop loop;

	private final CallerConnections callers;

	EntryMetrics(EntryCore core, EntryLoop loop, CallerConnections callers) {
		this.core = core;
		this.loop = loop;
		this.callers = callers;
	}

	void register(PrometheusRegistry registry) {
		counter(registry, "banyancove_requests_total", "Requests that arrived",
				(core) -> core.counters().receivedRequests());
		counter(registry, "banyancove_answers_total", "Requests answered whole",
				(core) -> core.counters().answeredRequests());
		counter(registry, "banyancove_attempts_total", "Attempts at endpoints", (core) -> core.counters().attempts());
		counter(registry, "banyancove_retries_total", "Attempts after the first", (core) -> core.counters().retries());
		counter(registry, "banyancove_streams_moved_total", "Streams moved to another engine",
				(core) -> core.streamCounters().continuations());
		counter(registry, "banyancove_streams_reattached_total", "Streams resumed over a new connection",
				(core) -> core.streamCounters().moves(StreamMove.REATTACHED));
		counter(registry, "banyancove_recomputed_tokens_total", "Tokens that engines computed again",
				(core) -> core.counters().recomputedTokens());
		counter(registry, "banyancove_tokens_total", "Tokens passed on to callers",
				(core) -> core.counters().generatedTokens());
		counter(registry, "banyancove_invariant_violations_total", "Promises that would have been broken",
				EntryCore::invariantViolations);
		counter(registry, "banyancove_failed_events_total", "Events whose handling failed", EntryCore::failedEvents);
		failures(registry);
		gauge(registry, "banyancove_requests_running", "Requests in flight", EntryCore::runningRequests);
		gauge(registry, "banyancove_endpoints", "Endpoints known", (core) -> core.endpoints().all().size());
		GaugeWithCallback.builder()
			.name("banyancove_callers_waiting")
			.help("Callers' connections that wait for an answer")
			.callback((callback) -> callback.call(this.callers.size()))
			.register(registry);
	}

	private void failures(PrometheusRegistry registry) {
		CounterWithCallback.builder()
			.name("banyancove_failures_total")
			.help("Errors answered, by kind")
			.labelNames("kind")
			.callback((callback) -> this.loop.read(() -> this.core.counters().failures())
				.forEach((kind, count) -> callback.call(count, kind.code())))
			.register(registry);
	}

	private void counter(PrometheusRegistry registry, String name, String help, ToDoubleFunction<EntryCore> value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(read(value)))
			.register(registry);
	}

	private void gauge(PrometheusRegistry registry, String name, String help, ToDoubleFunction<EntryCore> value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(read(value)))
			.register(registry);
	}

	private double read(ToDoubleFunction<EntryCore> value) {
		Callable<Double> reader = () -> value.applyAsDouble(this.core);
		return this.loop.read(reader);
	}

}
