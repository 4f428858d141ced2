package org.banyancove.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.rollout.RolloutReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsageReportPlannerTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private final UsageCounter counter = new UsageCounter(Duration.ofSeconds(5));

	private final UsageReportPlanner planner = new UsageReportPlanner(this.counter, Instant.ofEpochSecond(1000));

	@Test
	void reportsWindowOnceItsCountsAreFinal() {
		assertThat(reportsToRecord(List.of(), 1005, 3)).isEmpty();
		assertThat(reportsToRecord(List.of(), 1008, 3)).extracting(UsageReport::window).containsExactly(200L);
	}

	// Guards against two different reports of a window. The lease holder fails after it
	// recorded a report and possibly sent it. Its successor knows of more requests by
	// then, but must send the recorded counts.
	@Test
	void recordedReportIsNeverRecounted() {
		List<UsageReport> recorded = reportsToRecord(List.of(), 1008, 3);
		List<UsageReport> later = reportsToRecord(recorded, 1013, 4);
		assertThat(later.getFirst()).isEqualTo(recorded.getFirst());
		assertThat(later.getLast()).isEqualTo(new UsageReport(201, Map.of(ACCOUNT, 4L)));
	}

	@Test
	void reportsOnlyWindowsStillDueAfterLongPause() {
		List<UsageReport> recorded = reportsToRecord(List.of(), 1008, 3);
		assertThat(reportsToRecord(recorded, 1100, 3)).extracting(UsageReport::window)
			.containsExactly(215L, 216L, 217L, 218L);
	}

	// Guards against a usage report without the requests that a gateway counted before
	// it failed.
	@Test
	void countsAreRetainedAfterTheirProcessExpires() {
		PeerTable peerTable = new PeerTable(9, new DataCenterName("zone"));
		peerTable.receive(counted(1, 3), 0);
		peerTable.receive(counted(2, 4), 0);
		peerTable.receive(counted(2, 6), 1);
		long later = Duration.ofMinutes(1).toNanos();
		peerTable.expire(later);
		assertThat(peerTable.view(later).otherGateways()).isZero();
		assertThat(peerTable.usageCounts(200)).containsExactly(Map.entry(ACCOUNT, 9L));
	}

	@Test
	void returnsQuotaUsedSincePreviousReport() {
		PeerTable peerTable = new PeerTable(9, new DataCenterName("zone"));
		assertThat(peerTable.receive(used(70), 0)).isEmpty();
		assertThat(peerTable.receive(used(100), 1)).containsExactly(Map.entry(ACCOUNT, 30.0));
		assertThat(peerTable.view(1).reachableShare()).isEqualTo(1);
		assertThat(peerTable.view(Duration.ofSeconds(3).toNanos()).reachableShare()).isEqualTo(0.5);
	}

	private static GatewayReport counted(long incarnation, long count) {
		return report(incarnation, new TrafficTotals(Map.of(200L, Map.of(ACCOUNT, count)), Map.of(), Map.of(), Map.of(),
				RolloutReport.NONE, Map.of(), Map.of()));
	}

	private static GatewayReport used(double amount) {
		return report(1, new TrafficTotals(Map.of(), Map.of(ACCOUNT, amount), Map.of(), Map.of(), RolloutReport.NONE,
				Map.of(), Map.of()));
	}

	private static GatewayReport report(long incarnation, TrafficTotals traffic) {
		return new GatewayReport(incarnation, new DataCenterName("zone"), traffic, false, SharedStateVersion.NONE);
	}

	private List<UsageReport> reportsToRecord(List<UsageReport> recorded, long second, long count) {
		return this.planner.reportsToRecord(recorded, Instant.ofEpochSecond(second),
				(window) -> new UsageReport(window, Map.of(ACCOUNT, count)));
	}

}
