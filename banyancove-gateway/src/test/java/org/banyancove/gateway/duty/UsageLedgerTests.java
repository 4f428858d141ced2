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
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 17L);
		assertThat(this.ledger.recentGroupCounts().get(7L)).containsEntry(ACCOUNT, 7L);
	}

	// Guards against counts that decrease or double when the two aggregators of a group
	// received different reports.
	@Test
	void largerOfTwoCountsOfSameGatewaysIsUsed() {
		this.ledger.addGroup("far", counts(10));
		this.ledger.addGroup("far", counts(8));
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 10L);
		this.ledger.addGroup("far", counts(12));
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 12L);
	}

	// Guards against a usage report without the requests that a gateway counted before
	// it failed.
	@Test
	void countsOfFailedGatewayAreRetained() {
		this.ledger.addGateway(1, counts(3));
		this.ledger.addGateway(2, Map.of(8L, Map.of(ACCOUNT, 1L)));
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 3L);
	}

	// Guards against a new lease holder that uses only its own counts although it
	// received those of the fleet.
	@Test
	void fleetCountIsUsedWhenLargerThanKnownCounts() {
		this.ledger.addGateway(1, counts(3));
		this.ledger.addFleet(counts(20));
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 20L);
		this.ledger.addGroup("far", counts(18));
		assertThat(this.ledger.counts(7)).containsEntry(ACCOUNT, 21L);
	}

	@Test
	void removesCountsOfRemovedGroups() {
		this.ledger.addGroup("far-1", counts(5));
		this.ledger.retainGroups(Set.of("far"));
		assertThat(this.ledger.counts(7)).isEmpty();
	}

	private static Map<Long, Map<AccountName, Long>> counts(long count) {
		return Map.of(7L, Map.of(ACCOUNT, count));
	}

}
