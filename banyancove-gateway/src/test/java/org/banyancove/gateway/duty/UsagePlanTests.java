package org.banyancove.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsagePlanTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private final UsageCounter counter = new UsageCounter(Duration.ofSeconds(5));

	private final UsagePlan plan = new UsagePlan(this.counter, Instant.ofEpochSecond(1000));

	@Test
	void namesAWindowOnceItsCountsAreTold() {
		assertThat(toName(List.of(), 1005, 3)).isEmpty();
		assertThat(toName(List.of(), 1008, 3)).extracting(UsageReport::window).containsExactly(200L);
	}

	// The holder of the lease dies after it wrote a report down and perhaps sent it. Its
	// successor has heard of more requests since, and must send the counts that were
	// written.
	@Test
	void whatWasWrittenDownIsNeverCountedAnew() {
		List<UsageReport> written = toName(List.of(), 1008, 3);
		List<UsageReport> later = toName(written, 1013, 4);
		assertThat(later.getFirst()).isEqualTo(written.getFirst());
		assertThat(later.getLast()).isEqualTo(new UsageReport(201, Map.of(ACCOUNT, 4L)));
	}

	@Test
	void afterALongPauseOnlyWindowsThatAreStillDueAreNamed() {
		List<UsageReport> written = toName(List.of(), 1008, 3);
		assertThat(toName(written, 1100, 3)).extracting(UsageReport::window).containsExactly(215L, 216L, 217L, 218L);
	}

	@Test
	void countsStayWhenTheProcessThatCountedIsGone() {
		PeerTable peerTable = new PeerTable();
		peerTable.read(new GatewayReport(1, new DataCenterName("zone"), Map.of(200L, Map.of(ACCOUNT, 3L)), Map.of(),
				Map.of(), Map.of(), false, KnownState.NONE), 0);
		peerTable.read(new GatewayReport(2, new DataCenterName("zone"), Map.of(200L, Map.of(ACCOUNT, 4L)), Map.of(),
				Map.of(), Map.of(), false, KnownState.NONE), 0);
		peerTable.read(new GatewayReport(2, new DataCenterName("zone"), Map.of(200L, Map.of(ACCOUNT, 6L)), Map.of(),
				Map.of(), Map.of(), false, KnownState.NONE), 1);
		peerTable.expire(Duration.ofMinutes(1).toNanos());
		assertThat(peerTable.others()).isZero();
		assertThat(peerTable.counted(200)).containsExactly(Map.entry(ACCOUNT, 9L));
	}

	@Test
	void tellsWhatAGatewayLetInSinceItsLastReport() {
		PeerTable peerTable = new PeerTable();
		assertThat(peerTable.read(used(70), 0)).isEmpty();
		assertThat(peerTable.read(used(100), 1)).containsExactly(Map.entry(ACCOUNT, 30.0));
		assertThat(peerTable.reachableShare(1)).isEqualTo(1);
		assertThat(peerTable.reachableShare(Duration.ofSeconds(3).toNanos())).isEqualTo(0.5);
	}

	private static GatewayReport used(double amount) {
		return new GatewayReport(1, new DataCenterName("zone"), Map.of(), Map.of(ACCOUNT, amount), Map.of(), Map.of(),
				false, KnownState.NONE);
	}

	private List<UsageReport> toName(List<UsageReport> named, long second, long count) {
		return this.plan.toName(named, Instant.ofEpochSecond(second),
				(window) -> new UsageReport(window, Map.of(ACCOUNT, count)));
	}

}
