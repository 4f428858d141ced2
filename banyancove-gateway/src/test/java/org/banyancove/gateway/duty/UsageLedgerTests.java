package org.banyancove.gateway.duty;

import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsageLedgerTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private final UsageLedger ledger = new UsageLedger();

	@Test
	void addsUpGatewaysAndGroups() {
		this.ledger.addGateway(1, counts(3));
		this.ledger.addGateway(2, counts(4));
		this.ledger.addGroup("far", counts(10));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 17L);
		assertThat(this.ledger.newestOfGroup().get(7L)).containsEntry(ACCOUNT, 7L);
	}

	// Guards against counts that shrink or double when a group's two aggregators heard
	// different reports.
	@Test
	void ofTwoCountsOfTheSameGatewaysTheLargerCounts() {
		this.ledger.addGroup("far", counts(10));
		this.ledger.addGroup("far", counts(8));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 10L);
		this.ledger.addGroup("far", counts(12));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 12L);
	}

	// Guards against a usage report that lacks what a gateway counted before it died.
	@Test
	void whatADeadGatewayCountedStays() {
		this.ledger.addGateway(1, counts(3));
		this.ledger.addGateway(2, Map.of(8L, Map.of(ACCOUNT, 1L)));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 3L);
	}

	// Guards against a new holder of the lease that knows only its own counts, though it
	// received the fleet's.
	@Test
	void theFleetsCountStandsInForWhatIsNotKnownOtherwise() {
		this.ledger.addGateway(1, counts(3));
		this.ledger.addFleet(counts(20));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 20L);
		this.ledger.addGroup("far", counts(18));
		assertThat(this.ledger.counted(7)).containsEntry(ACCOUNT, 21L);
	}

	@Test
	void forgetsGroupsThatAreNoMore() {
		this.ledger.addGroup("far-1", counts(5));
		this.ledger.retainGroups(Set.of("far"));
		assertThat(this.ledger.counted(7)).isEmpty();
	}

	private static Map<Long, Map<AccountName, Long>> counts(long count) {
		return Map.of(7L, Map.of(ACCOUNT, count));
	}

}
