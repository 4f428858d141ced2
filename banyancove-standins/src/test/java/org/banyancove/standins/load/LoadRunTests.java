package org.banyancove.standins.load;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.banyancove.standins.engine.EngineFault;
import org.banyancove.standins.engine.EngineOptions;
import org.banyancove.standins.engine.EngineStandin;
import org.banyancove.standins.service.ServiceFault;
import org.banyancove.standins.service.ServiceOptions;
import org.banyancove.standins.service.ServiceStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class LoadRunTests {

	private final EngineStandin engine = new EngineStandin(EngineOptions.defaults().withSpeed(50_000, 500_000)).start();

	private final ServiceStandin service = new ServiceStandin(ServiceOptions.defaults()).start();

	@AfterEach
	void close() {
		this.engine.close();
		this.service.close();
	}

	@Test
	void measuresBothSidesWithTheSameRequests() throws Exception {
		LoadReport report = run(0.5, 0, true);
		assertThat(report.lines()).extracting(LoadReport.Line::side)
			.containsExactly("target", "target", "direct", "direct");
		assertThat(report.lines()).extracting(LoadReport.Line::succeeded).allMatch((count) -> count > 0);
		assertThat(report.lines().get(0).succeeded()).isEqualTo(report.lines().get(2).succeeded());
		assertThat(report.lines().stream().mapToLong(LoadReport.Line::succeeded).sum()).isEqualTo(80);
		assertThat(this.service.runs().runs()).allMatch((run) -> run.count() == 2);
		assertThat(report.toTable()).contains("total p99");
	}

	@Test
	void sendsAtRateAndCountsErrorResponsesByCode() throws Exception {
		this.service.faults().set(ServiceFault.ERROR_STATUS, 503);
		LoadReport report = run(0, 2_000, false);
		assertThat(report.lines().getFirst().outcomes()).isEqualTo(Map.of("503 without Retry-After", 40L));
	}

	// A truncated stream ends without an error, only with too little text. The load
	// compares the text with the one that the engine's model must generate.
	@Test
	void distinguishesTruncatedAndCorruptedResponsesFromCompleteOnes() throws Exception {
		this.engine.faults().set(EngineFault.TRUNCATE_STREAMS, 3);
		LoadReport truncated = run(1, 0, false);
		assertThat(truncated.allCompleteAndCorrect()).isFalse();
		assertThat(truncated.lines().getFirst().outcomes()).isEqualTo(Map.of("200", 37L, "200 incomplete", 3L));
		this.engine.faults().set(EngineFault.REPEAT_PIECES, 2);
		assertThat(run(1, 0, false).lines().getFirst().outcomes()).isEqualTo(Map.of("200", 38L, "200 wrong text", 2L));
	}

	@Test
	void rejectsTargetsOutsideLoopback() {
		URI remote = URI.create("http://192.0.2.1:80");
		assertThatIllegalArgumentException().isThrownBy(() -> new LoadOptions.Side(remote, "plans", remote, "/"))
			.withMessageContaining("loopback only");
	}

	private LoadReport run(double chatShare, double perSecond, boolean direct) throws InterruptedException {
		LoadOptions.Side side = new LoadOptions.Side(uri(this.engine.address()), "plans", uri(this.service.address()),
				"/bookings");
		LoadOptions options = new LoadOptions(side, direct ? side : null,
				new LoadOptions.Volume(40, 0, 4, perSecond, Duration.ofSeconds(20)),
				new LoadOptions.Chats(chatShare, 1, 100, 2, 8, "plans"), new LoadOptions.Calls("load-", true),
				List.of("small", "large", "large"), 7);
		try (LoadRun run = new LoadRun(options)) {
			return run.run();
		}
	}

	private static URI uri(InetSocketAddress address) {
		return URI.create("http://127.0.0.1:" + address.getPort());
	}

}
