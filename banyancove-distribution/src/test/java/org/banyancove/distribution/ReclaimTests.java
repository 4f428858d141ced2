package org.banyancove.distribution;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an accepted model request while VMs that serve it are reclaimed, with separate
 * processes: its entry, its engine, both, or a complete data center.
 */
class ReclaimTests {

	private static final String RECLAIMED_DATA_CENTER = "mahebourg";

	private static final String REMAINING_DATA_CENTER = "trou-deau";

	private static final Duration NOTICE_PERIOD = Duration.ofMillis(1500);

	private static final int TOKENS_BEFORE_FAULT = 20;

	private static final int TOKENS = 250;

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static int startedCount;

	private final Caller caller = cluster.caller();

	private RunningProcess entry;

	private RunningProcess remainingEntry;

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-safe", REMAINING_DATA_CENTER, 100);
		cluster.startPlatform(RECLAIMED_DATA_CENTER, REMAINING_DATA_CENTER);
		cluster.startEntry("entry-safe", REMAINING_DATA_CENTER);
		cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	// Starts two entries and two engines in the data center whose VMs are
	// reclaimed.
	@BeforeEach
	void replaceReclaimedProcesses() {
		while (cluster.engines().size() < 3) {
			startedCount++;
			cluster.startEngine("engine-" + startedCount, RECLAIMED_DATA_CENTER, 100);
		}
		while (cluster.entries().size() < 3) {
			startedCount++;
			cluster.startEntry("entry-" + startedCount, RECLAIMED_DATA_CENTER);
		}
		cluster.awaitServing();
		this.remainingEntry = cluster.process("entry-safe");
		this.entry = cluster.entries()
			.stream()
			.filter((each) -> !each.equals(this.remainingEntry))
			.findFirst()
			.orElseThrow();
	}

	// The entry receives a reclaim notice in the middle of a stream, and its VM is
	// lost. The entry hands the request over while the engine continues. The caller
	// reconnects elsewhere with the request id and reads the complete response.
	@Test
	void aPlanSurvivesTheReclaimOfItsEntry() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, entry reclaimed", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		reclaim(NOTICE_PERIOD, this.entry);
		assertComplete(modelRequest, stream);
	}

	// The VM of the entry is lost without a notice, so nothing is handed over. The
	// second entry that holds the request resumes it from the last progress that it
	// received.
	@Test
	void aPlanSurvivesTheLossOfItsEntryWithoutNotice() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, entry lost", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		this.entry.kill();
		assertComplete(modelRequest, stream);
	}

	// The entry fails shortly after its notice, in the middle of the handover. The
	// request may then be at two entries or in transit; one of them must complete
	// it.
	@Test
	void aPlanSurvivesAnEntryThatDiesPartwayThroughItsNotice() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, entry dies early", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		reclaim(Duration.ofMillis(60), this.entry);
		assertComplete(modelRequest, stream);
	}

	// The engine receives a reclaim notice and is lost. The stream of the caller
	// does not break: it continues at the next token from another engine, without
	// missing or duplicate tokens.
	@Test
	void aPlanSurvivesTheReclaimOfItsEngine() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, engine reclaimed", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		reclaim(NOTICE_PERIOD, cluster.engineInUse(this.entry));
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
	}

	// Entry and engine receive reclaim notices together and both are lost. Both the
	// request and its stream have to move, and neither may wait for the other.
	@Test
	void aPlanSurvivesTheReclaimOfItsEntryAndItsEngine() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, both reclaimed", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		reclaim(NOTICE_PERIOD, this.entry, cluster.engineInUse(this.entry));
		assertComplete(modelRequest, stream);
	}

	// All VMs of a data center receive reclaim notices and are lost. The second
	// entry that holds the request may be among them, so the request must be handed
	// over to another data center.
	@Test
	void aPlanSurvivesTheReclaimOfAWholeDataCenter() {
		ModelRequest modelRequest = ModelRequest.of("Voyage plan, data center reclaimed", TOKENS);
		ResponseStream stream = startStream(modelRequest);
		RunningProcess remainingEngine = cluster.process("engine-safe");
		List<RunningProcess> engines = cluster.engines()
			.stream()
			.filter((each) -> !each.equals(remainingEngine))
			.toList();
		List<RunningProcess> entries = cluster.entries()
			.stream()
			.filter((each) -> !each.equals(this.remainingEntry))
			.toList();
		reclaim(NOTICE_PERIOD, engines.get(0), engines.get(1), entries.get(0), entries.get(1));
		assertComplete(modelRequest, stream);
	}

	private ResponseStream startStream(ModelRequest modelRequest) {
		ResponseStream stream = this.caller.stream(this.entry, modelRequest);
		stream.awaitTokens(TOKENS_BEFORE_FAULT);
		assertThat(stream.status()).isEqualTo(200);
		assertThat(stream.tokens()).as("the request must still be in flight").isLessThan(modelRequest.tokens());
		return stream;
	}

	private static void reclaim(Duration notice, RunningProcess... processes) {
		for (RunningProcess process : processes) {
			cluster.sendReclaimNotice(process, notice);
		}
		Await.pause(notice);
		for (RunningProcess process : processes) {
			process.kill();
		}
	}

	// Checks that the text received so far is a prefix of the expected text, and
	// that a new connection to another entry delivers all of it.
	private void assertComplete(ModelRequest modelRequest, ResponseStream stream) {
		assertThat(modelRequest.expectedText()).startsWith(stream.text());
		ResponseStream again = this.caller.reconnect(this.remainingEntry, stream.requestId());
		assertThat(again.awaitEnd()).as(again.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(again.text()).isEqualTo(modelRequest.expectedText());
		assertThat(cluster.invariantViolations()).isZero();
	}

}
