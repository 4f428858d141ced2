package org.banyancove.standins.platform;

import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyancove.standins.support.StandinClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatIOException;

class PlatformStandinTests {

	private static final String TWO_RECORDS = "{\"records\":[{\"id\":\"a\",\"data\":\"1\"},{\"id\":\"b\",\"data\":\"2\"}]}";

	private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);

	private final PlatformStandin platform = new PlatformStandin(PlatformOptions.defaults()
		.withVms(List.of(VmDescription.parse("vm-1,north1,zone-a,small,engine,drafts,127.0.0.1:1")))
		.withListLagAndRetention(Duration.ofSeconds(2), Duration.ofHours(1))
		.withRates(20, 1)
		.withListeners(List.of("north1", "north2"))
		.withClock(this.now::get)).start();

	private final StandinClient client = new StandinClient(this.platform.address());

	@AfterEach
	void close() {
		this.platform.close();
	}

	@Test
	void appendsAndReadsByOffset() throws Exception {
		this.client.send("POST", "/log/profiles/records", TWO_RECORDS);
		JsonNode appended = this.client.json("POST", "/log/profiles/records", TWO_RECORDS);
		assertThat(appended.path("firstOffset").asInt()).isEqualTo(2);
		assertThat(appended.path("lastOffset").asInt()).isEqualTo(3);
		JsonNode read = this.client.json("GET", "/log/profiles/records?from=1&limit=2", "");
		assertThat(read.path("endOffset").asInt()).isEqualTo(4);
		assertThat(read.path("records").findValuesAsText("id")).containsExactly("b", "a");
	}

	@Test
	void removesRecordsOlderThanRetention() throws Exception {
		this.client.send("POST", "/log/leases/records", TWO_RECORDS);
		this.now.set(Instant.EPOCH.plus(Duration.ofHours(2)));
		JsonNode read = this.client.json("GET", "/log/leases/records?from=0", "");
		assertThat(read.path("firstRetained").asInt()).isEqualTo(2);
		assertThat(read.path("endOffset").asInt()).isEqualTo(2);
		assertThat(read.path("records")).isEmpty();
	}

	@Test
	void rejectsAppendsOverRateLimit() throws Exception {
		assertThat(this.client.send("POST", "/log/leases/records", TWO_RECORDS).statusCode()).isEqualTo(200);
		assertThat(this.client.send("POST", "/log/leases/records", TWO_RECORDS).statusCode()).isEqualTo(200);
		assertThat(this.client.send("POST", "/log/leases/records", TWO_RECORDS).headers().firstValue("Retry-After"))
			.contains("1");
	}

	// The connection closes, so the client cannot tell whether the append took effect.
	// The records are appended at their offsets; only the response is lost.
	@Test
	void losesResponseAfterAppendTookEffect() throws Exception {
		this.platform.faults().set(PlatformFault.LOSE_APPEND_ANSWERS, 1);
		assertThatIOException().isThrownBy(() -> this.client.send("POST", "/log/leases/records", TWO_RECORDS));
		assertThat(this.client.json("GET", "/log/leases/records", "").path("endOffset").asInt()).isEqualTo(2);
	}

	@Test
	void rejectsInvalidInput() throws Exception {
		for (String body : List.of("", "[]", "{}", "{\"records\":[]}", "{\"records\":3}")) {
			assertThat(this.client.send("POST", "/log/leases/records", body).statusCode()).as(body).isEqualTo(400);
		}
		assertThat(this.client.send("GET", "/log/leases/records?from=x", "").statusCode()).isEqualTo(400);
	}

	@Test
	void publishesNoticeImmediatelyAndListAfterLag() throws Exception {
		this.client.send("POST", "/standin/notices", "{\"vm\":\"vm-1\",\"inMillis\":30000}");
		assertThat(this.client.json("GET", "/notices?after=0", "").at("/notices/0/reclaimAt").asText())
			.isEqualTo("1970-01-01T00:00:30Z");
		assertThat(this.client.json("GET", "/vms", "").at("/vms/0/state").asText()).isEqualTo("live");
		this.now.set(Instant.EPOCH.plusSeconds(2));
		assertThat(this.client.json("GET", "/vms", "").at("/vms/0/state").asText()).isEqualTo("leaving");
	}

	// A client of the cloud API loses the response to a start and retries with the same
	// client token. The retry returns the existing VM, so that only one VM is paid for.
	@Test
	void startsOneVmPerClientToken() throws Exception {
		String start = "{\"clientToken\":\"t-1\",\"zone\":\"zone-a\",\"machineClass\":\"small\",\"reclaimable\":true}";
		this.platform.faults().set(PlatformFault.LOSE_CLOUD_ANSWERS, 1);
		assertThatIOException().isThrownBy(() -> this.client.send("POST", "/cloud/vms", start));
		String id = this.client.json("POST", "/cloud/vms", start).path("id").asText();
		assertThat(this.client.json("GET", "/cloud/vms?tokenPrefix=t-", "").path("vms").findValuesAsText("id"))
			.containsExactly(id);
		assertThat(this.client.send("DELETE", "/cloud/vms/" + id, "").statusCode()).isEqualTo(204);
		assertThat(this.client.json("GET", "/cloud/vms", "").path("vms")).isEmpty();
	}

	@Test
	void rejectsStartsByZoneAndWeightLoadsOverRateLimit() throws Exception {
		this.platform.faults().set(PlatformFault.REFUSE_STARTS_IN, "zone-a,zone-b");
		assertThat(this.client.send("POST", "/cloud/vms", "{\"clientToken\":\"t\",\"zone\":\"zone-b\"}").statusCode())
			.isEqualTo(503);
		assertThat(this.client.send("GET", "/weights/plans", "").statusCode()).isEqualTo(200);
		assertThat(this.client.send("GET", "/weights/plans", "").statusCode()).isEqualTo(429);
	}

	// An append that the log rejected with 503 still takes effect later: a waiting
	// reader receives its records after the client has received the error.
	@Test
	void appliesLateAppendAfterErrorResponse() throws Exception {
		this.platform.faults().set(PlatformFault.LATE_APPENDS, 1);
		assertThat(this.client.send("POST", "/log/leases/records", TWO_RECORDS).statusCode()).isEqualTo(503);
		JsonNode read = this.client.json("GET", "/log/leases/records?from=0&waitMillis=20000", "");
		assertThat(read.path("records")).hasSize(2);
	}

	// A data centre is partitioned from the platform: its requests hang and have no
	// effect, while the listener of another data centre continues to serve requests.
	@Test
	void silencedListenerIsolatesItsClients() throws Exception {
		this.platform.faults().set(PlatformFault.SILENT_LISTENERS, "north1");
		StandinClient isolatedClient = new StandinClient(this.platform.address("north1"));
		StandinClient otherClient = new StandinClient(this.platform.address("north2"));
		assertThatExceptionOfType(HttpTimeoutException.class).isThrownBy(
				() -> isolatedClient.sendWithin(Duration.ofMillis(300), "POST", "/log/leases/records", TWO_RECORDS));
		assertThat(otherClient.json("GET", "/log/leases/records", "").path("endOffset").asInt()).isZero();
		this.platform.faults().set(PlatformFault.SILENT_LISTENERS, "");
		assertThat(isolatedClient.send("GET", "/vms", "").statusCode()).isEqualTo(200);
	}

}
