package org.banyancove.gateway.daemon;

import java.time.Duration;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.exchange.RequestLog.EndedMove;
import org.banyancove.gateway.migration.MoveOutcome;
import org.banyancove.program.MetricsText;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MigrationMetricsTests {

	@Test
	void movesAreCountedByOutcome() {
		PrometheusRegistry registry = new PrometheusRegistry();
		GatewayMetrics metrics = new GatewayMetrics(registry);
		metrics.streamMoveEnded(move(MoveOutcome.MOVED));
		metrics.streamMoveEnded(move(MoveOutcome.MOVED));
		metrics.streamMoveEnded(move(MoveOutcome.NO_RUN));
		assertThat(new MetricsText(registry).text()).contains("banyancove_stream_moves_total{outcome=\"moved\"} 2.0",
				"banyancove_stream_moves_total{outcome=\"no_run\"} 1.0");
	}

	private static EndedMove move(MoveOutcome outcome) {
		return new EndedMove("id", outcome, new EndpointId("a"), new EndpointId("b"), 7, Duration.ofMillis(300));
	}

}
