package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.RecordId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseTableTests {

	private static final DataCenterName NORTH = new DataCenterName("north1");

	private static final Incarnation FIRST = new Incarnation(new VmId("vm-1"), 1);

	private static final Incarnation SECOND = new Incarnation(new VmId("vm-2"), 2);

	private final LeaseTable table = new LeaseTable();

	// The holder is paused beyond the end of its lease and another process acquires it.
	// The former holder's late renewal must not replace the new lease.
	@Test
	void lateRenewalOfFormerHolderIsIgnored() {
		apply(4, new LeaseRecord.Acquired(id(4), NORTH, FIRST, Duration.ofSeconds(5)), 0);
		apply(5, new LeaseRecord.Acquired(id(5), NORTH, SECOND, Duration.ofSeconds(5)), 4);
		assertHeld(FIRST, 4);
		apply(6, new LeaseRecord.Acquired(id(6), NORTH, SECOND, Duration.ofSeconds(5)), 5);
		apply(7, new LeaseRecord.Renewed(id(7), NORTH, FIRST, 4, Duration.ofSeconds(5)), 6);
		apply(8, new LeaseRecord.Resigned(id(8), NORTH, FIRST, 4), 7);
		assertHeld(SECOND, 6);
	}

	// Retention has removed the record that acquired the lease. A new reader first
	// applies the renewal of an outdated lease, and then the renewal with the
	// higher fencing number, which must replace it.
	@Test
	void lateReaderAppliesRenewalWithHigherFence() {
		apply(50, new LeaseRecord.Renewed(id(50), NORTH, FIRST, 4, Duration.ofSeconds(5)), 60);
		apply(51, new LeaseRecord.Renewed(id(51), NORTH, SECOND, 40, Duration.ofSeconds(5)), 61);
		assertHeld(SECOND, 40);
	}

	private void apply(long offset, LeaseRecord record, long seconds) {
		this.table.apply(offset, record, Instant.EPOCH.plusSeconds(seconds));
	}

	private void assertHeld(Incarnation holder, long fence) {
		assertThat(this.table.find(NORTH)).hasValueSatisfying((lease) -> {
			assertThat(lease.holder()).isEqualTo(holder);
			assertThat(lease.fence()).isEqualTo(fence);
		});
	}

	private RecordId id(long number) {
		return new RecordId("record-" + number);
	}

}
