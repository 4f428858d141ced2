package org.banyancove.standins.service;

import java.io.IOException;

import org.banyancove.standins.support.StandinClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

class ServiceStandinTests {

	private final ServiceStandin service = new ServiceStandin(ServiceOptions.defaults()).start();

	private final StandinClient client = new StandinClient(this.service.address());

	@AfterEach
	void close() {
		this.service.close();
	}

	@Test
	void countsRunsByKeyAndBody() throws Exception {
		this.client.send("POST", "/bookings", "{}", "Idempotency-Key", "a");
		this.client.send("POST", "/bookings", "{\"tons\":2}", "Idempotency-Key", "a");
		assertThat(this.client.json("POST", "/bookings", "{}", "Idempotency-Key", "a").path("runs").asInt())
			.isEqualTo(2);
		assertThat(this.service.runs().runsOf("a")).isEqualTo(3);
		assertThat(this.client.json("GET", "/standin/runs", "").path("runs")).hasSize(2);
	}

	// The connection closes without a response although the call has run, as when a
	// service fails between its database commit and its response.
	@Test
	void closesConnectionAfterRunningCall() throws Exception {
		this.client.send("POST", "/standin/faults", "{\"runAndClose\":1}");
		assertThatIOException().isThrownBy(() -> this.client.send("POST", "/bookings", "{}", "Idempotency-Key", "a"));
		assertThat(this.service.runs().runsOf("a")).isEqualTo(1);
		assertThat(this.client.send("POST", "/bookings", "{}", "Idempotency-Key", "b").statusCode()).isEqualTo(200);
	}

	@Test
	void rejectsUnknownSwitches() throws IOException, InterruptedException {
		assertThat(this.client.send("POST", "/standin/faults", "{\"runAndClosed\":1}").statusCode()).isEqualTo(400);
	}

}
