package org.banyancove.core.profile;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;

import org.banyancove.core.ProfileName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProfileViewTests {

	private final FakeProfileLog log = new FakeProfileLog();

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	@Test
	void viewThatHasReadNothingIsNotStarted() {
		ProfileView view = new ProfileView();
		assertThat(view.isStarted()).isFalse();
		view.apply(this.log.read(0, 10));
		assertThat(view.isStarted()).isTrue();
	}

	// An entry is disconnected from the platform for longer than the retention.
	// When it is connected again, the log begins after the last record it has read.
	// It must continue to serve its profiles, must not apply the records after the
	// gap, and is complete again after a checkpoint.
	@Test
	void gapIsClosedByCheckpointAndAdjacentRecords() {
		ProfileView writer = new ProfileView();
		ProfileView slow = new ProfileView();
		this.log.append(Samples.change("a", -1, "dawn", 0));
		slow.apply(this.log.read(0, 10));
		this.log.append(Samples.change("b", 0, "dawn", 1));
		writer.apply(this.log.read(0, 10));
		ProfileTableState state = writer.table().exportState();
		this.log.append(Samples.change("c", 1, "dawn", 2));
		this.log.trimTo(2);
		slow.apply(this.log.read(slow.nextOffset(), 10));
		assertThat(slow.hasGap()).isTrue();
		assertThat(priority(slow)).isZero();
		this.log.append(new ProfileRecord.ProfilesCheckpoint(state));
		slow.apply(this.log.read(slow.nextOffset(), 10));
		assertThat(slow.hasGap()).isFalse();
		assertThat(priority(slow)).isEqualTo(2);
	}

	// All old records were removed and the log contains no checkpoint: a new process must
	// not report that nothing is published but that it is not started. A peer's state
	// makes it complete, and the records that it has read are applied.
	@Test
	void newViewWithoutCheckpointRequiresPeerState() {
		ProfileView peer = new ProfileView();
		this.log.append(Samples.change("a", -1, "dawn", 0));
		peer.apply(this.log.read(0, 10));
		this.log.append(Samples.change("b", 0, "dawn", 1));
		this.log.trimTo(1);
		ProfileView newView = new ProfileView();
		newView.apply(this.log.read(0, 10));
		assertThat(newView.isStarted()).isFalse();
		assertThat(newView.hasGap()).isTrue();
		assertThat(newView.importState(peer.table().exportState())).hasSize(1);
		assertThat(newView.hasGap()).isFalse();
		assertThat(priority(newView)).isOne();
	}

	// Nothing changes for longer than the retention. Without another checkpoint the last
	// one would be removed as well, and a process that starts later would find an empty
	// stream.
	@Test
	void checkpointIsDueAgainWithoutChanges() {
		ProfileView view = new ProfileView();
		CheckpointSchedule schedule = new CheckpointSchedule(Duration.ofHours(1), 100, () -> this.now, new Random(1));
		view.apply(this.log.read(0, 10));
		assertThat(dueWithin(schedule, view, Duration.ofDays(1))).as("nothing is published").isFalse();
		this.log.append(Samples.change("a", -1, "dawn", 0));
		view.apply(this.log.read(0, 10));
		assertThat(dueWithin(schedule, view, Duration.ofMinutes(31))).isTrue();
		this.now = Instant.parse("2026-01-01T00:00:00Z");
		this.log.append(new ProfileRecord.ProfilesCheckpoint(view.table().exportState()));
		view.apply(this.log.read(0, 10));
		assertThat(dueWithin(schedule, view, Duration.ofMinutes(59))).isFalse();
		assertThat(dueWithin(schedule, view, Duration.ofMinutes(32))).isTrue();
	}

	// A checkpoint becomes due at all readers in the same second. Each waits for its own
	// random delay; the others read the first one's checkpoint and write none.
	@Test
	void checkpointOfOneReaderSuppressesOthers() {
		this.log.append(Samples.change("a", -1, "dawn", 0));
		int written = 0;
		ProfileView[] views = new ProfileView[20];
		CheckpointSchedule[] schedules = new CheckpointSchedule[views.length];
		for (int i = 0; i < views.length; i++) {
			views[i] = new ProfileView();
			schedules[i] = new CheckpointSchedule(Duration.ofHours(1), 100, () -> this.now, new Random(i));
		}
		for (int second = 0; second < 1800; second++) {
			this.now = this.now.plusSeconds(1);
			for (int i = 0; i < views.length; i++) {
				views[i].apply(this.log.read(views[i].nextOffset(), 10));
				ProfileRecord.ProfilesCheckpoint checkpoint = schedules[i].due(views[i]);
				if (checkpoint != null) {
					this.log.append(checkpoint);
					written++;
				}
			}
		}
		assertThat(written).isOne();
	}

	private boolean dueWithin(CheckpointSchedule schedule, ProfileView view, Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			if (schedule.due(view) != null) {
				return true;
			}
			this.now = this.now.plusSeconds(10);
		}
		return false;
	}

	private static int priority(ProfileView view) {
		PublishedProfile published = view.table().profile(new ProfileName("dawn"));
		return (published != null) ? published.profile().priority() : -1;
	}

}
