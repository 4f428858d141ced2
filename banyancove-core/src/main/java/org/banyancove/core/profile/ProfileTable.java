package org.banyancove.core.profile;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.banyancove.core.Invariant;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * The current profiles and services, computed by a deterministic replay of the profiles
 * stream.
 * <p>
 * Two operators may change one object at the same time, and the answers to their appends
 * may be lost. Changes are hence decided when they are read (optimistic concurrency
 * control): a change contains the revision on which it is based, and the first such
 * record in the stream is accepted by every reader. The table only advances to higher
 * offsets, so that accepted changes never revert.
 * <p>
 * Used by one thread, the entry's tick loop.
 */
public final class ProfileTable {

	/** The revision of an object that is not published yet. */
	public static final long NO_REVISION = -1;

	/**
	 * The number of offsets for which record identifiers are retained. A duplicate that
	 * arrives later is rejected because of its revision, unless the first copy was
	 * rejected for an unknown name.
	 */
	public static final int DECIDED_WINDOW = 1024;

	private final Map<ProfileName, PublishedProfile> profiles = new TreeMap<>();

	private final Map<ServiceName, PublishedService> services = new TreeMap<>();

	private final Map<String, DecidedChange> decided = new HashMap<>();

	private final Deque<DecidedChange> decidedByOffset = new ArrayDeque<>();

	private long throughOffset = -1;

	private @Nullable CheckpointMark lastCheckpoint;

	/**
	 * Returns the offset of the next record.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.throughOffset + 1;
	}

	/**
	 * Applies the next record.
	 * @param entry the record, whose offset is {@link #nextOffset()}
	 * @return the outcome
	 * @throws org.banyancove.core.InvariantViolationException if the offset is not the
	 * next one
	 */
	public ProfileOutcome apply(ProfileEntry entry) {
		long offset = entry.offset();
		Invariant.check(offset == nextOffset(), "profile records must be applied in order: offset %s, expected %s",
				offset, nextOffset());
		ProfileOutcome outcome = switch (entry.record()) {
			case ProfileRecord.Change change -> decide(offset, change);
			case ProfileRecord.ProfilesCheckpoint checkpoint -> recordCheckpoint(entry);
			case null -> new ProfileOutcome.Ignored(offset);
		};
		this.throughOffset = offset;
		removeDecisionsBefore(offset - DECIDED_WINDOW + 1);
		return outcome;
	}

	/**
	 * Returns the position of the last checkpoint.
	 * @return the position, or {@code null} if the stream has no checkpoint yet
	 */
	public @Nullable CheckpointMark lastCheckpoint() {
		return this.lastCheckpoint;
	}

	/**
	 * Returns the decision on a change within the last {@link #DECIDED_WINDOW} offsets.
	 * An operator whose append was not answered obtains the outcome this way.
	 * @param recordId the identifier of the change's record
	 * @return the decision, or {@code null} if the stream has no such record
	 */
	public @Nullable DecidedChange decision(String recordId) {
		return this.decided.get(recordId);
	}

	/**
	 * Returns a published profile.
	 * @param name the name
	 * @return the profile, or {@code null} if it is not published
	 */
	public @Nullable PublishedProfile profile(ProfileName name) {
		return this.profiles.get(name);
	}

	/**
	 * Returns a published service.
	 * @param name the name
	 * @return the service, or {@code null} if it is not published
	 */
	public @Nullable PublishedService service(ServiceName name) {
		return this.services.get(name);
	}

	/**
	 * Returns all published profiles, by name.
	 * @return the profiles
	 */
	public Collection<PublishedProfile> profiles() {
		return Collections.unmodifiableCollection(this.profiles.values());
	}

	/**
	 * Returns all published services, by name.
	 * @return the services
	 */
	public Collection<PublishedService> services() {
		return Collections.unmodifiableCollection(this.services.values());
	}

	/**
	 * Returns the terms for a new request.
	 * @param name the requested service
	 * @return the terms, which apply for the duration of the request
	 * @throws BanyancoveException of kind {@link ErrorKind#SERVICE_UNKNOWN} or
	 * {@link ErrorKind#SERVICE_RETIRED}
	 */
	public RequestTerms terms(ServiceName name) {
		PublishedService published = this.services.get(name);
		if (published == null) {
			throw new BanyancoveException(ErrorKind.SERVICE_UNKNOWN, "No service '" + name + "' is published");
		}
		ServiceDefinition service = published.service();
		if (service.state() == ServiceState.RETIRED) {
			throw new BanyancoveException(ErrorKind.SERVICE_RETIRED, "The service '" + name + "' is retired");
		}
		PublishedProfile profile = Objects.requireNonNull(this.profiles.get(service.profile()));
		return new RequestTerms(published.revision(), service, profile.revision(), profile.profile());
	}

	/**
	 * Returns the state for a peer or a checkpoint.
	 * @return the state, which is equal at all readers at the same offset
	 */
	public ProfileTableState exportState() {
		return new ProfileTableState(this.throughOffset, new ArrayList<>(this.profiles.values()),
				new ArrayList<>(this.services.values()), new ArrayList<>(this.decidedByOffset), this.lastCheckpoint);
	}

	/**
	 * Replaces the state with that of a peer or a checkpoint if it is newer.
	 * @param state the state
	 * @return whether the state was replaced; an older or equal state is ignored
	 * @throws org.banyancove.core.InvariantViolationException if the newer state would
	 * revert an object to an earlier revision
	 */
	public boolean importState(ProfileTableState state) {
		if (state.throughOffset() <= this.throughOffset) {
			return false;
		}
		Map<ProfileName, PublishedProfile> newProfiles = new TreeMap<>();
		state.profiles().forEach((published) -> newProfiles.put(published.profile().name(), published));
		Map<ServiceName, PublishedService> newServices = new TreeMap<>();
		state.services().forEach((published) -> newServices.put(published.service().name(), published));
		checkRevisionsNotReverted(newProfiles, newServices);
		this.profiles.clear();
		this.profiles.putAll(newProfiles);
		this.services.clear();
		this.services.putAll(newServices);
		this.decided.clear();
		this.decidedByOffset.clear();
		state.decided().forEach(this::recordDecision);
		this.lastCheckpoint = state.lastCheckpoint();
		this.throughOffset = state.throughOffset();
		return true;
	}

	private ProfileOutcome recordCheckpoint(ProfileEntry entry) {
		this.lastCheckpoint = new CheckpointMark(entry.offset(), entry.appendedAt());
		return new ProfileOutcome.Ignored(entry.offset());
	}

	private ProfileOutcome decide(long offset, ProfileRecord.Change change) {
		DecidedChange first = this.decided.get(change.recordId());
		if (first != null) {
			return new ProfileOutcome.Duplicate(offset, first);
		}
		long current = revisionOf(change);
		RejectionReason reason = findRejectionReason(change, current);
		recordDecision(new DecidedChange(offset, change.recordId(), reason == null));
		if (reason != null) {
			return new ProfileOutcome.Rejected(offset, change, reason, current);
		}
		Invariant.check(offset > current, "an accepted change must increase the revision: %s after %s by %s", offset,
				current, change);
		applyChange(offset, change);
		return new ProfileOutcome.Accepted(offset, change);
	}

	private long revisionOf(ProfileRecord.Change change) {
		return switch (change) {
			case ProfileRecord.ProfileChanged changed -> profileRevision(changed.profile().name());
			case ProfileRecord.ServiceChanged changed -> serviceRevision(changed.service().name());
			case ProfileRecord.ServiceRetired retired -> serviceRevision(retired.service());
		};
	}

	private long profileRevision(ProfileName name) {
		PublishedProfile published = this.profiles.get(name);
		return (published != null) ? published.revision() : NO_REVISION;
	}

	private long serviceRevision(ServiceName name) {
		PublishedService published = this.services.get(name);
		return (published != null) ? published.revision() : NO_REVISION;
	}

	private @Nullable RejectionReason findRejectionReason(ProfileRecord.Change change, long current) {
		if (change instanceof ProfileRecord.ServiceRetired && current == NO_REVISION) {
			return RejectionReason.SERVICE_UNKNOWN;
		}
		if (change.expectedRevision() != current) {
			return RejectionReason.REVISION_MOVED;
		}
		if (change instanceof ProfileRecord.ServiceChanged changed
				&& !this.profiles.containsKey(changed.service().profile())) {
			return RejectionReason.PROFILE_UNKNOWN;
		}
		return null;
	}

	private void applyChange(long offset, ProfileRecord.Change change) {
		switch (change) {
			case ProfileRecord.ProfileChanged changed ->
				this.profiles.put(changed.profile().name(), new PublishedProfile(offset, changed.profile()));
			case ProfileRecord.ServiceChanged changed ->
				this.services.put(changed.service().name(), new PublishedService(offset, changed.service()));
			case ProfileRecord.ServiceRetired retired -> this.services.computeIfPresent(retired.service(),
					(name, published) -> new PublishedService(offset, published.service().retired()));
		}
	}

	private void recordDecision(DecidedChange change) {
		this.decided.put(change.recordId(), change);
		this.decidedByOffset.addLast(change);
	}

	private void removeDecisionsBefore(long offset) {
		DecidedChange oldest = this.decidedByOffset.peekFirst();
		while (oldest != null && oldest.offset() < offset) {
			this.decidedByOffset.removeFirst();
			this.decided.remove(oldest.recordId());
			oldest = this.decidedByOffset.peekFirst();
		}
	}

	private void checkRevisionsNotReverted(Map<ProfileName, PublishedProfile> newProfiles,
			Map<ServiceName, PublishedService> newServices) {
		this.profiles.forEach((name, current) -> {
			PublishedProfile next = newProfiles.get(name);
			Invariant.check(next != null && next.revision() >= current.revision(),
					"an accepted profile never reverts: %s after %s", String.valueOf(next), current);
		});
		this.services.forEach((name, current) -> {
			PublishedService next = newServices.get(name);
			Invariant.check(next != null && next.revision() >= current.revision(),
					"an accepted service never reverts: %s after %s", String.valueOf(next), current);
		});
		newServices.forEach((name, next) -> Invariant.check(newProfiles.containsKey(next.service().profile()),
				"a service must reference a published profile: %s", next));
	}

}
