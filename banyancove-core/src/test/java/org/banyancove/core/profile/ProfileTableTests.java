package org.banyancove.core.profile;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyancove.core.InvariantViolationException;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ProfileTableTests {

	private static final ServiceName FEED = new ServiceName("feed");

	private final ProfileTable table = new ProfileTable();

	// Two operators change the same profile based on the same revision. Both records are
	// in the stream. The second change must be rejected, since its operator would
	// otherwise assume that it is effective.
	@Test
	void firstOfTwoConcurrentChangesIsAccepted() {
		apply(Samples.change("create", -1, "dawn", 0));
		assertThat(apply(Samples.change("first", 0, "dawn", 1))).isInstanceOf(ProfileOutcome.Accepted.class);
		assertThat(apply(Samples.change("second", 0, "dawn", 2))).isInstanceOfSatisfying(ProfileOutcome.Rejected.class,
				(rejected) -> {
					assertThat(rejected.reason()).isEqualTo(RejectionReason.REVISION_MOVED);
					assertThat(rejected.currentRevision()).isOne();
				});
		assertThat(this.table.profile(new ProfileName("dawn")))
			.isEqualTo(new PublishedProfile(1, Samples.profile("dawn", 1)));
	}

	// The answer to an accepted append is lost, and a duplicate of the record
	// arrives after another operator's change. The duplicate must not restore the
	// old profile.
	@Test
	void lateDuplicateOfAcceptedChangeDoesNotRevert() {
		apply(Samples.change("create", -1, "dawn", 0));
		apply(Samples.change("next", 0, "dawn", 1));
		assertThat(apply(Samples.change("create", -1, "dawn", 0)))
			.isEqualTo(new ProfileOutcome.Duplicate(2, new DecidedChange(0, "create", true)));
		assertThat(this.table.profile(new ProfileName("dawn"))).extracting(PublishedProfile::revision).isEqualTo(1L);
	}

	// A service is rejected because its profile is not published yet, and its operator
	// reads this outcome. The profile is published and a duplicate of the rejected
	// record arrives. It must stay rejected, since the operator may have made another
	// change in the meantime.
	@Test
	void duplicateOfRejectedChangeStaysRejected() {
		ProfileRecord.ServiceChanged change = new ProfileRecord.ServiceChanged("s", -1,
				Samples.service("feed", "dawn", false));
		assertThat(apply(change)).isInstanceOfSatisfying(ProfileOutcome.Rejected.class,
				(rejected) -> assertThat(rejected.reason()).isEqualTo(RejectionReason.PROFILE_UNKNOWN));
		apply(Samples.change("create", -1, "dawn", 0));
		assertThat(apply(change)).isInstanceOf(ProfileOutcome.Duplicate.class);
		assertThat(this.table.service(FEED)).isNull();
	}

	// A service is retired while one of its requests is running. The request keeps its
	// terms until its end, and only new requests are refused.
	@Test
	void retirementRefusesNewRequestsAndKeepsAcceptedTerms() {
		apply(Samples.change("create", -1, "dawn", 3));
		apply(new ProfileRecord.ServiceChanged("s", -1, Samples.service("feed", "dawn", false)));
		RequestTerms terms = this.table.terms(FEED);
		apply(Samples.change("tighten", 0, "dawn", 9));
		apply(new ProfileRecord.ServiceRetired("retire", 1, FEED));
		assertThat(terms)
			.isEqualTo(new RequestTerms(1, Samples.service("feed", "dawn", false), 0, Samples.profile("dawn", 3)));
		assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.table.terms(FEED))
			.satisfies((ex) -> assertThat(ex.kind()).isEqualTo(ErrorKind.SERVICE_RETIRED));
		assertThatExceptionOfType(BanyancoveException.class).isThrownBy(() -> this.table.terms(new ServiceName("none")))
			.satisfies((ex) -> assertThat(ex.kind()).isEqualTo(ErrorKind.SERVICE_UNKNOWN));
	}

	@Test
	void retirementOfUnknownServiceIsRejected() {
		assertThat(apply(new ProfileRecord.ServiceRetired("r", -1, FEED))).isInstanceOfSatisfying(
				ProfileOutcome.Rejected.class,
				(rejected) -> assertThat(rejected.reason()).isEqualTo(RejectionReason.SERVICE_UNKNOWN));
	}

	@Test
	void recordsOutOfOrderViolateInvariant() {
		apply(null);
		assertThatExceptionOfType(InvariantViolationException.class).isThrownBy(() -> this.table.apply(entry(0, null)));
		assertThatExceptionOfType(InvariantViolationException.class).isThrownBy(() -> this.table.apply(entry(2, null)));
	}

	@Test
	void olderStateIsIgnoredAndRevertingStateViolatesInvariant() {
		ProfileTableState empty = this.table.exportState();
		apply(Samples.change("create", -1, "dawn", 0));
		assertThat(this.table.importState(empty)).isFalse();
		ProfileTableState reverting = new ProfileTableState(7, List.of(), List.of(), List.of(), null);
		assertThatExceptionOfType(InvariantViolationException.class).isThrownBy(() -> this.table.importState(reverting))
			.withMessageContaining("never reverts");
		assertThat(this.table.profiles()).hasSize(1);
	}

	@Property(tries = 300, seed = "7")
	void pagesOfAnySizeAndOverlapProduceSameState(
			@ForAll @Size(max = 40) List<@IntRange(min = -3, max = 8) Integer> expectations,
			@ForAll @IntRange(min = 1, max = 9) int pageSize, @ForAll @IntRange(max = 8) int overlap) {
		FakeProfileLog log = new FakeProfileLog();
		List<ProfileOutcome> expectedOutcomes = new ArrayList<>();
		for (int expected : expectations) {
			log.append((expected < -1) ? null : Samples.change("r" + expected, expected, "p" + expected % 2, 1));
		}
		ProfileView atOnce = new ProfileView();
		expectedOutcomes.addAll(atOnce.apply(log.read(0, 100)));
		ProfileView inPages = new ProfileView();
		List<ProfileOutcome> outcomes = new ArrayList<>();
		while (inPages.nextOffset() < log.endOffset()) {
			outcomes.addAll(inPages.apply(log.read(Math.max(0, inPages.nextOffset() - overlap), pageSize + overlap)));
		}
		assertThat(outcomes).isEqualTo(expectedOutcomes);
		assertThat(inPages.table().exportState()).isEqualTo(atOnce.table().exportState());
	}

	private ProfileOutcome apply(@Nullable ProfileRecord record) {
		return this.table.apply(entry(this.table.nextOffset(), record));
	}

	private static ProfileEntry entry(long offset, @Nullable ProfileRecord record) {
		return new ProfileEntry(offset, Instant.EPOCH, record);
	}

}
