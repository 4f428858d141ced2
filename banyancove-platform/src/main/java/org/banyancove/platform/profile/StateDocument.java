package org.banyancove.platform.profile;

import java.time.Instant;
import java.util.List;

import org.banyancove.core.profile.CheckpointMark;
import org.banyancove.core.profile.DecidedChange;
import org.banyancove.core.profile.ProfileTableState;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.core.profile.PublishedService;
import org.jspecify.annotations.Nullable;

/**
 * The JSON document of the state of a profile table.
 */
record StateDocument(long throughOffset, List<RevisedProfile> profiles, List<RevisedService> services,
		List<Decided> decided, @Nullable Mark lastCheckpoint) implements Document<ProfileTableState> {

	static StateDocument of(ProfileTableState state) {
		CheckpointMark mark = state.lastCheckpoint();
		return new StateDocument(state.throughOffset(), state.profiles().stream().map(RevisedProfile::of).toList(),
				state.services().stream().map(RevisedService::of).toList(),
				state.decided().stream().map(Decided::of).toList(),
				(mark != null) ? new Mark(mark.offset(), mark.appendedAt().toString()) : null);
	}

	@Override
	public ProfileTableState value() {
		Mark mark = this.lastCheckpoint;
		return new ProfileTableState(this.throughOffset, this.profiles.stream().map(RevisedProfile::published).toList(),
				this.services.stream().map(RevisedService::published).toList(),
				this.decided.stream().map(Decided::change).toList(),
				(mark != null) ? new CheckpointMark(mark.offset(), Instant.parse(mark.appendedAt())) : null);
	}

	record RevisedProfile(long revision, ProfileDocument profile) {

		static RevisedProfile of(PublishedProfile published) {
			return new RevisedProfile(published.revision(), ProfileDocument.of(published.profile()));
		}

		PublishedProfile published() {
			return new PublishedProfile(this.revision, this.profile.profile());
		}

	}

	record RevisedService(long revision, ServiceDocument service) {

		static RevisedService of(PublishedService published) {
			return new RevisedService(published.revision(), ServiceDocument.of(published.service()));
		}

		PublishedService published() {
			return new PublishedService(this.revision, this.service.service());
		}

	}

	record Decided(long offset, String recordId, boolean accepted) {

		static Decided of(DecidedChange change) {
			return new Decided(change.offset(), change.recordId(), change.accepted());
		}

		DecidedChange change() {
			return new DecidedChange(this.offset, this.recordId, this.accepted);
		}

	}

	record Mark(long offset, String appendedAt) {

	}

}
