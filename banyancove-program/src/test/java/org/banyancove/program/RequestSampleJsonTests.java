package org.banyancove.program;

import java.time.Instant;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.burn.RequestSample;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RequestSampleJsonTests {

	private final RequestSampleJson json = new RequestSampleJson();

	@Test
	void writesOneLineAndReadsItBack() {
		RequestSample sample = sample(300L, true, null);
		assertThat(this.json.write(sample)).isEqualTo("{\"at\":\"2026-01-01T00:00:00Z\",\"requestId\":\"r\","
				+ "\"account\":\"skippers\",\"service\":\"feed\",\"profile\":\"dawn\",\"firstTokenMillis\":300,"
				+ "\"totalMillis\":2400,\"met\":true,\"errorCode\":null}");
		assertThat(this.json.read(this.json.write(sample))).isEqualTo(sample);
		RequestSample failed = sample(null, false, "overloaded");
		assertThat(this.json.read(this.json.write(failed))).isEqualTo(failed);
		assertThatIllegalArgumentException().isThrownBy(() -> this.json.read("{}"));
		assertThatIllegalArgumentException().isThrownBy(() -> this.json.read("null"));
	}

	@Test
	void countsRequestsByProfileAccountAndMetTargets() {
		PrometheusRegistry registry = new PrometheusRegistry();
		ObjectiveMetrics metrics = new ObjectiveMetrics(registry);
		metrics.add(sample(300L, true, null));
		metrics.add(sample(null, false, "overloaded"));
		metrics.add(sample(null, false, "malformed_request"));
		assertThat(new MetricsText(registry).text()).contains(
				"banyancove_objective_requests_total{account=\"skippers\",met=\"true\",profile=\"dawn\"} 1.0",
				"banyancove_objective_requests_total{account=\"skippers\",met=\"false\",profile=\"dawn\"} 1.0");
	}

	private static RequestSample sample(@Nullable Long firstTokenMillis, boolean met, @Nullable String errorCode) {
		return new RequestSample(Instant.parse("2026-01-01T00:00:00Z"), new RequestId("r"), new AccountName("skippers"),
				new ServiceName("feed"), new ProfileName("dawn"), firstTokenMillis, 2400, met, errorCode);
	}

}
