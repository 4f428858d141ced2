package org.banyancove.platform.profile;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.CheckpointMark;
import org.banyancove.core.profile.DecidedChange;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTableState;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.core.profile.PublishedService;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;
import org.banyancove.platform.LogPage;
import org.banyancove.platform.LogRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProfileRecordCodecTests {

	private static final Profile PROFILE = new Profile(new ProfileName("dawn"), Duration.ofMillis(350),
			Duration.ofMillis(41), Duration.ofMinutes(5), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.1, 0.5, true,
			65_536);

	private static final ServiceDefinition SERVICE = new ServiceDefinition(new ServiceName("orders"), ServiceKind.PLAIN,
			new ProfileName("dawn"), ServiceState.ACTIVE, Set.of("GET", "HEAD"), true);

	private static final ProfileTableState STATE = new ProfileTableState(9, List.of(new PublishedProfile(3, PROFILE)),
			List.of(new PublishedService(5, SERVICE)), List.of(new DecidedChange(3, "a", true)),
			new CheckpointMark(7, Instant.parse("2026-01-01T00:00:00Z")));

	private final ProfileRecordCodec codec = new ProfileRecordCodec();

	@Test
	void everyRecordSurvivesARoundTrip() {
		List<ProfileRecord.Change> changes = List.of(new ProfileRecord.ProfileChanged("a", -1, PROFILE),
				new ProfileRecord.ServiceChanged("b", 4, SERVICE),
				new ProfileRecord.ServiceRetired("c", 5, SERVICE.name()));
		for (ProfileRecord.Change change : changes) {
			assertThat(read(this.codec.encode(change))).isEqualTo(change);
		}
		ProfileRecord.ProfilesCheckpoint checkpoint = new ProfileRecord.ProfilesCheckpoint(STATE);
		assertThat(read(this.codec.encode(checkpoint))).isEqualTo(checkpoint);
		assertThat(this.codec.newRecord(changes.getFirst()).id()).isEqualTo("a");
	}

	@Test
	void relayedEntriesAndStatesSurviveARoundTrip() {
		Instant at = Instant.parse("2026-01-01T00:00:00Z");
		ProfileEntry changed = new ProfileEntry(3, at, new ProfileRecord.ProfileChanged("a", -1, PROFILE));
		ProfileEntry unknown = new ProfileEntry(4, at, null);
		assertThat(this.codec.readEntry(this.codec.write(changed))).isEqualTo(changed);
		assertThat(this.codec.readEntry(this.codec.write(unknown))).isEqualTo(unknown);
		assertThat(this.codec.readState(this.codec.write(STATE))).isEqualTo(STATE);
		assertThat(this.codec.readEntry("{}")).isNull();
		assertThat(this.codec.readState("not json")).isNull();
	}

	// A newer version or a faulty tool writes a record that this version cannot read.
	// Readers must continue after it; otherwise they would apply no later change.
	@Test
	void unreadableRecordsKeepTheirOffsetAndAreIgnored() {
		for (String data : List.of("{\"kind\":\"later\"}", "not json", "{\"kind\":\"profile-changed\"}", "[]", "null",
				"{\"kind\":\"profile-changed\",\"recordId\":\"x\",\"expectedRevision\":-1}",
				"{\"kind\":\"service-retired\",\"expectedRevision\":1,\"serviceName\":\"feed\"}",
				"{\"kind\":\"profile-changed\",\"recordId\":\"x\",\"expectedRevision\":-1,\"profile\":{\"name\":\"x\"}}")) {
			assertThat(read(data)).as(data).isNull();
		}
	}

	private @Nullable ProfileRecord read(String written) {
		Instant at = Instant.parse("2026-01-01T00:00:00Z");
		ProfilePage page = this.codec.decode(new LogPage(2, 4, List.of(new LogRecord(3, "x", written, at))));
		assertThat(page.firstRetained()).isEqualTo(2);
		ProfileEntry entry = page.entries().getFirst();
		assertThat(entry.offset()).isEqualTo(3);
		return entry.record();
	}

}
