package org.banyancove.distribution;

import java.nio.file.Path;

import org.banyancove.entry.EntryProgram;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * End-to-end tests with separate processes: three data centers with one entry each,
 * engines and an order service.
 */
class EndToEndTests {

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static RunningProcess entry;

	private final Caller caller = cluster.caller();

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-1", "mahebourg", 400);
		cluster.startEngine("engine-2", "trou-deau", 200);
		cluster.startOrderService("orders-1", "poste-lafayette");
		cluster.startPlatform("mahebourg", "trou-deau", "poste-lafayette");
		entry = cluster.startEntry("entry-1", "mahebourg");
		cluster.startEntry("entry-2", "trou-deau");
		cluster.startEntry("entry-3", "poste-lafayette");
		cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	// A caller requests a voyage plan in each data center. The stream delivers the
	// exact text of the model and its final event, wherever the engine runs: a plan
	// that is truncated or mixed with another sends a boat out with the wrong feed.
	@Test
	void everyDataCenterStreamsCompleteResponse() {
		for (RunningProcess each : cluster.entries()) {
			ModelRequest modelRequest = ModelRequest.of("Plan the feed for pens 4 to 9 from " + each.address(), 40);
			ResponseStream stream = this.caller.stream(each, modelRequest);
			assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
			assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
		}
		assertThat(cluster.invariantViolations()).isZero();
	}

	// A caller books a delivery at one entry and repeats it at the others, as
	// callers do that are unsure of the outcome. The service runs it once, and the
	// repeats receive the same response, marked as repeated: a duplicate booking
	// overloads a barge.
	@Test
	void bookingSentToEveryEntryRunsOnce() {
		CallResponse first = this.caller.book(entry, "barge-17", "{\"tonnes\":12}");
		assertThat(first.status()).as(first.body()).isEqualTo(200);
		assertThat(first.execution()).isEqualTo("ran");
		for (RunningProcess each : cluster.entries()) {
			CallResponse again = this.caller.book(each, "barge-17", "{\"tonnes\":12}");
			assertThat(again.status()).as(again.body()).isEqualTo(200);
			assertThat(again.isRepeated()).isTrue();
			assertThat(again.body()).isEqualTo(first.body());
		}
		assertThat(cluster.runCount("barge-17")).isOne();
	}

	// An unknown service, malformed JSON, an unknown credential, and a body above
	// the limit of the profile each receive one response with a specific error code
	// and "not-run", and nothing reaches the service.
	@Test
	void invalidRequestIsRejectedWithSpecificError() {
		assertRejected(post("/services/unknown/deliveries", "{}", Caller.CREDENTIAL), 404, "service_unknown");
		assertRejected(post("/v1/chat/completions", "{\"model\":", Caller.CREDENTIAL), 400, "malformed_request");
		assertRejected(post("/services/orders/deliveries", "{}", "Bearer nobody"), 401, "account_unknown");
		String large = "x".repeat(1_000_001);
		assertRejected(post("/services/orders/deliveries", large, Caller.CREDENTIAL), 413, "body_too_large");
		assertThat(cluster.runCount("refused")).isZero();
	}

	// An operator starts an entry with invalid settings: an unknown key or a value
	// of the wrong type. It exits at once with one line that states the error kind
	// and names the key; otherwise only callers would detect the misread setting.
	@Test
	void entryExitsWithOneLineOnInvalidSettings() {
		String right = cluster.settings("entry-9", "mahebourg");
		assertExitsWithError("unknown-key", right + "colour = \"blue\"\n", "error: settings_invalid: ", "colour");
		assertExitsWithError("wrong-type", right + "[callers]\nmaximum-requests = \"many\"\n",
				"error: settings_invalid: ", "maximum-requests");
	}

	// An operator starts an entry on an address that is already in use. The new
	// entry exits with one line that states this; the other entry is not affected.
	@Test
	void entryExitsWithOneLineWhenAddressIsInUse() {
		String settings = cluster.settings("entry-9", "mahebourg") + "[callers]\naddress = \"" + entry.address()
				+ "\"\n";
		assertExitsWithError("address-in-use", settings, "error: address_in_use: ", entry.address().split(":")[1]);
		assertThat(this.caller.get(entry.address(), "/readyz").status()).isEqualTo(200);
	}

	private void assertExitsWithError(String name, String settings, String start, String named) {
		Path file = cluster.write(name + ".toml", settings);
		try (RunningProcess process = cluster.startProgram(name, EntryProgram.class, "--settings", file.toString())) {
			assertThat(process.awaitExit()).isNotZero();
			assertThat(process.errorLines()).singleElement().asString().startsWith(start).contains(named);
		}
	}

	private CallResponse post(String path, String body, String credential) {
		return this.caller.call("POST", entry.address(), path, body, "Authorization", credential, "Idempotency-Key",
				"refused");
	}

	private static void assertRejected(CallResponse response, int status, String code) {
		assertThat(response.status()).as(response.body()).isEqualTo(status);
		assertThat(response.errorCode()).isEqualTo(code);
		assertThat(response.execution()).isEqualTo("not-run");
	}

}
