package org.banyancove.core.profile;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A long randomised simulation of operators and readers of one profiles stream.
 * <p>
 * Operators make concurrent changes based on outdated views, lose answers to appends that
 * were or were not applied, and retry with the same record identifier; appends are
 * applied late. Readers lag, are disconnected, are replaced and start from the log or
 * from a peer; checkpoints are written and retention removes records, in some cases all
 * of them. The simulation preserves only what the system requires: a checkpoint in the
 * log, or one process that has read up to the first retained record. The expected outcome
 * is computed by {@link Oracle}, independently of the code under test.
 */
final class ProfileRun {

	private static final int READERS = 5;

	private static final int NAMES = 4;

	private static final int MAXIMUM_APPEND_LAG = ProfileTable.DECIDED_WINDOW / 2;

	private final Random random;

	private final FakeProfileLog log = new FakeProfileLog();

	private final Oracle oracle = new Oracle();

	private final List<ProfileView> readers = new ArrayList<>();

	private final List<Unanswered> unanswered = new ArrayList<>();

	private final Map<Event, Integer> counts = new EnumMap<>(Event.class);

	private int nextRecord;

	private long checkpointOffset = -1;

	private long checkpointThrough = -1;

	ProfileRun(long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < READERS; i++) {
			this.readers.add(new ProfileView());
		}
	}

	Map<Event, Integer> run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
		recoverAndCompare();
		return this.counts;
	}

	private void step() {
		int choice = this.random.nextInt(100);
		if (choice < 30) {
			appendRandomChange();
		}
		else if (choice < 36) {
			retryUnansweredAppend();
		}
		else if (choice < 38) {
			append(null);
			count(Event.UNKNOWN_KIND);
		}
		else if (choice < 85) {
			readPage(randomReader());
		}
		else if (choice < 90) {
			importPeerState(randomReader());
		}
		else if (choice < 94) {
			replaceReader();
		}
		else if (choice < 97) {
			writeCheckpoint();
		}
		else {
			trim();
		}
	}

	private void appendRandomChange() {
		ProfileView view = randomReader();
		ProfileRecord.Change change = randomChange(view.table());
		int appendOutcome = this.random.nextInt(10);
		if (appendOutcome < 6) {
			append(change);
		}
		else if (appendOutcome < 8) {
			append(change);
			this.unanswered.add(new Unanswered(this.log.endOffset(), change));
			count(Event.ANSWER_LOST);
		}
		else {
			this.unanswered.add(new Unanswered(this.log.endOffset(), change));
			count(Event.APPEND_LATE);
		}
	}

	private void retryUnansweredAppend() {
		this.unanswered.removeIf((pending) -> pending.madeAt() < this.log.endOffset() - MAXIMUM_APPEND_LAG);
		if (!this.unanswered.isEmpty()) {
			append(this.unanswered.remove(this.random.nextInt(this.unanswered.size())).change());
			count(Event.APPEND_RETRIED);
		}
	}

	private ProfileRecord.Change randomChange(ProfileTable table) {
		String id = "record-" + this.nextRecord++;
		String name = "n" + this.random.nextInt(NAMES);
		int value = this.random.nextInt(10);
		if (this.random.nextBoolean()) {
			PublishedProfile published = table.profile(new ProfileName(name));
			return Samples.change(id, (published != null) ? published.revision() : -1, name, value);
		}
		PublishedService published = table.service(new ServiceName(name));
		long revision = (published != null) ? published.revision() : -1;
		if (value == 0) {
			return new ProfileRecord.ServiceRetired(id, revision, new ServiceName(name));
		}
		String profile = "n" + this.random.nextInt(NAMES);
		return new ProfileRecord.ServiceChanged(id, revision, Samples.service(name, profile, value > 5));
	}

	private void append(@Nullable ProfileRecord record) {
		long offset = this.log.append(record);
		count(this.oracle.append(offset, record));
	}

	private void readPage(ProfileView reader) {
		boolean hadGap = reader.hasGap();
		List<ProfileOutcome> outcomes = reader.apply(this.log.read(reader.nextOffset(), 1 + this.random.nextInt(30)));
		outcomes.forEach(this.oracle::check);
		if (!hadGap && reader.hasGap()) {
			count(Event.GAP_OPENED);
		}
		if (hadGap && !reader.hasGap()) {
			count(Event.GAP_CLOSED_BY_CHECKPOINT);
		}
		this.oracle.check(reader);
	}

	private void importPeerState(ProfileView reader) {
		ProfileView peer = randomReader();
		if (peer.isStarted()) {
			reader.importState(peer.table().exportState()).forEach(this.oracle::check);
			count(Event.PEER_STATE_IMPORTED);
			this.oracle.check(reader);
		}
	}

	private void replaceReader() {
		int index = this.random.nextInt(READERS);
		if (isLogComplete() || hasCompleteReaderExcept(index)) {
			this.readers.set(index, new ProfileView());
			count(Event.READER_REPLACED);
		}
	}

	private boolean hasCompleteReaderExcept(int index) {
		for (int i = 0; i < READERS; i++) {
			ProfileView reader = this.readers.get(i);
			if (i != index && reader.isStarted() && reader.table().nextOffset() >= this.log.firstRetained()) {
				return true;
			}
		}
		return false;
	}

	private boolean isLogComplete() {
		long first = this.log.firstRetained();
		return first == 0 || (this.checkpointOffset >= first && this.checkpointThrough + 1 >= first);
	}

	private void writeCheckpoint() {
		ProfileView reader = randomReader();
		if (reader.isStarted() && !reader.hasGap()) {
			ProfileRecord.ProfilesCheckpoint checkpoint = new ProfileRecord.ProfilesCheckpoint(
					reader.table().exportState());
			this.checkpointOffset = this.log.endOffset();
			this.checkpointThrough = checkpoint.throughOffset();
			append(checkpoint);
			count(Event.CHECKPOINT);
		}
	}

	private void trim() {
		long endOffset = this.log.endOffset();
		if (this.random.nextInt(3) == 0 && this.readers.stream().anyMatch((reader) -> isAt(reader, endOffset))) {
			this.log.trimTo(endOffset);
			count(Event.TRIMMED_TO_END);
		}
		else if (this.checkpointOffset >= 0) {
			this.log.trimTo(this.checkpointThrough + 1);
			count(Event.TRIMMED_TO_CHECKPOINT);
		}
	}

	private static boolean isAt(ProfileView reader, long offset) {
		return reader.isStarted() && reader.table().nextOffset() == offset;
	}

	private void recoverAndCompare() {
		for (ProfileView reader : this.readers) {
			readToEnd(reader);
		}
		for (ProfileView reader : this.readers) {
			for (ProfileView peer : this.readers) {
				if (peer.isStarted()) {
					reader.importState(peer.table().exportState()).forEach(this.oracle::check);
				}
			}
			readToEnd(reader);
			assertThat(reader.hasGap()).isFalse();
			assertThat(reader.nextOffset()).isEqualTo(this.log.endOffset());
			count(Event.READER_COMPLETE_AT_END);
		}
		for (ProfileView reader : this.readers) {
			assertThat(reader.table().exportState()).isEqualTo(this.readers.getFirst().table().exportState());
		}
	}

	private void readToEnd(ProfileView reader) {
		do {
			long before = reader.nextOffset();
			reader.apply(this.log.read(before, 1000)).forEach(this.oracle::check);
			this.oracle.check(reader);
			assertThat(reader.nextOffset() > before || before == this.log.endOffset()).as("reader advances").isTrue();
		}
		while (reader.nextOffset() < this.log.endOffset());
	}

	private ProfileView randomReader() {
		return this.readers.get(this.random.nextInt(READERS));
	}

	private void count(Event event) {
		this.counts.merge(event, 1, Integer::sum);
	}

	/**
	 * A change whose append was not answered.
	 *
	 * @param madeAt the stream's end when the change was made
	 * @param change the change
	 */
	private record Unanswered(long madeAt, ProfileRecord.Change change) {

	}

	/**
	 * The events of a simulation.
	 */
	enum Event {

		ACCEPTED, REJECTED, DUPLICATE, IGNORED, ANSWER_LOST, APPEND_LATE, APPEND_RETRIED, UNKNOWN_KIND, GAP_OPENED,
		GAP_CLOSED_BY_CHECKPOINT, PEER_STATE_IMPORTED, READER_REPLACED, CHECKPOINT, TRIMMED_TO_CHECKPOINT,
		TRIMMED_TO_END, READER_COMPLETE_AT_END

	}

	/**
	 * Computes the expected outcome of every record with plain maps over the complete
	 * stream.
	 */
	private static final class Oracle {

		private final List<Event> outcomes = new ArrayList<>();

		private final List<Map<String, Object>> states = new ArrayList<>();

		private final Map<String, Long> revisions = new HashMap<>();

		private final Map<String, Object> values = new HashMap<>();

		private final Set<String> recordIds = new HashSet<>();

		Event append(long offset, @Nullable ProfileRecord record) {
			Event event = Event.IGNORED;
			if (record instanceof ProfileRecord.Change change) {
				event = decide(offset, change);
			}
			this.outcomes.add(event);
			this.states.add(new HashMap<>(this.values));
			return event;
		}

		private Event decide(long offset, ProfileRecord.Change change) {
			if (!this.recordIds.add(change.recordId())) {
				return Event.DUPLICATE;
			}
			String key = key(change);
			if (this.revisions.getOrDefault(key, -1L) != change.expectedRevision() || referencesUnknownName(change)) {
				return Event.REJECTED;
			}
			this.revisions.put(key, offset);
			this.values.put(key, value(offset, change));
			return Event.ACCEPTED;
		}

		private static String key(ProfileRecord.Change change) {
			return switch (change) {
				case ProfileRecord.ProfileChanged changed -> "profile " + changed.profile().name();
				case ProfileRecord.ServiceChanged changed -> "service " + changed.service().name();
				case ProfileRecord.ServiceRetired retired -> "service " + retired.service();
			};
		}

		private boolean referencesUnknownName(ProfileRecord.Change change) {
			return switch (change) {
				case ProfileRecord.ProfileChanged changed -> false;
				case ProfileRecord.ServiceChanged changed ->
					!this.values.containsKey("profile " + changed.service().profile());
				case ProfileRecord.ServiceRetired retired -> !this.values.containsKey(key(retired));
			};
		}

		private Object value(long offset, ProfileRecord.Change change) {
			return switch (change) {
				case ProfileRecord.ProfileChanged changed -> new PublishedProfile(offset, changed.profile());
				case ProfileRecord.ServiceChanged changed -> new PublishedService(offset, changed.service());
				case ProfileRecord.ServiceRetired retired -> {
					PublishedService before = (PublishedService) Objects.requireNonNull(this.values.get(key(retired)));
					yield new PublishedService(offset, before.service().retired());
				}
			};
		}

		void check(ProfileOutcome outcome) {
			Event event = switch (outcome) {
				case ProfileOutcome.Accepted accepted -> Event.ACCEPTED;
				case ProfileOutcome.Rejected rejected -> Event.REJECTED;
				case ProfileOutcome.Duplicate duplicate -> Event.DUPLICATE;
				case ProfileOutcome.Ignored ignored -> Event.IGNORED;
			};
			assertThat(event).as("outcome at offset %s", outcome.offset())
				.isEqualTo(this.outcomes.get((int) outcome.offset()));
		}

		void check(ProfileView reader) {
			Map<String, Object> state = new HashMap<>();
			ProfileTable table = reader.table();
			table.profiles().forEach((published) -> state.put("profile " + published.profile().name(), published));
			table.services().forEach((published) -> state.put("service " + published.service().name(), published));
			int through = (int) table.nextOffset() - 1;
			assertThat(state).as("state through offset %s", through)
				.isEqualTo((through < 0) ? Map.of() : this.states.get(through));
		}

	}

}
