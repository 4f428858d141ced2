package org.banyancove.gateway.daemon;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.gateway.exchange.RequestLog.EndedMove;
import org.banyancove.gateway.migration.MoveOutcome;
import org.slf4j.Logger;

/**
 * Counts and logs the moves of streams off endpoints that leave.
 */
final class MigrationMetrics {

	private final Logger log;

	private final Counter moves;

	MigrationMetrics(PrometheusRegistry registry, Logger log) {
		this.log = log;
		this.moves = Counter.builder()
			.withoutExemplars()
			.name("banyancove_stream_moves_total")
			.help("Streams on endpoints that leave, by what became of their move")
			.labelNames("outcome")
			.register(registry);
	}

	void count(EndedMove move) {
		this.moves.labelValues(outcome(move)).inc();
	}

	void log(EndedMove move) {
		this.log.atInfo()
			.addKeyValue("requestId", move.requestId())
			.addKeyValue("outcome", outcome(move))
			.addKeyValue("source", move.source())
			.addKeyValue("destination", move.destination())
			.addKeyValue("forwardedEvents", move.forwardedEvents())
			.addKeyValue("elapsedMs", move.elapsed().toMillis())
			.log((move.outcome() == MoveOutcome.MOVED) ? "stream moved" : "stream not moved");
	}

	private static String outcome(EndedMove move) {
		return move.outcome().name().toLowerCase(Locale.ROOT);
	}

}
