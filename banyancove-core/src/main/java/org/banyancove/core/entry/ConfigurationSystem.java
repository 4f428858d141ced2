package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.banyancove.core.Incarnation;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.peer.PeerLogRecord;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.profile.CheckpointSchedule;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTableState;
import org.banyancove.core.profile.ProfileView;

/**
 * Keeps the profiles up to date with the log. They are read from the platform if
 * {@link ProfileReaders} selects this entry, and otherwise, or while the platform is
 * unreachable, received from another entry with a higher offset.
 * <p>
 * Failure: a data center that cannot reach the platform misses a change that is effective
 * everywhere else. Its entries detect from heartbeats that a peer has a higher offset and
 * request the records from that peer. This is sufficient, since records are applied in
 * the order of the log whatever their source, and the table never accepts a lower offset.
 */
final class ConfigurationSystem {

	private static final String STREAM = "profiles";

	/**
	 * The stream name of relays from an entry that has just read to the end of the log.
	 */
	private static final String READ_TO_END = "profiles-read-to-end";

	private static final String STATE = "state";

	private static final int MAXIMUM_RECENT_RECORDS = 1024;

	private static final int MAXIMUM_RECORDS_PER_MESSAGE = 64;

	private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);

	private final Incarnation self;

	private final PeerTable peers;

	private final PeerPort port;

	private final ProfileTextCodec textCodec;

	private final InstantSource clock;

	private final ProfileView view = new ProfileView();

	private final Deque<ProfileEntry> recent = new ArrayDeque<>();

	private final CheckpointSchedule checkpoints;

	private final ProfileReaders readers;

	private final Consumer<EntryCommand> commands;

	private Instant nextRequestAt = Instant.MIN;

	private boolean reading;

	ConfigurationSystem(Incarnation self, PeerTable peers, PeerPort port, ProfileTextCodec textCodec,
			CheckpointSchedule checkpoints, ProfileReaders readers, InstantSource clock,
			Consumer<EntryCommand> commands) {
		this.self = self;
		this.peers = peers;
		this.port = port;
		this.textCodec = textCodec;
		this.checkpoints = checkpoints;
		this.readers = readers;
		this.clock = clock;
		this.commands = commands;
	}

	ProfileView view() {
		return this.view;
	}

	long offset() {
		return this.view.isStarted() ? this.view.table().nextOffset() : -1;
	}

	// Applies a page that this entry read from the log.
	void pageRead(ProfilePage page) {
		long before = this.view.table().nextOffset();
		apply(page);
		if (offset() >= page.endOffset()) {
			notifyFollowers(before);
		}
	}

	// Starts or stops reading, and appends a checkpoint well before the log trims
	// the records that it replaces.
	void tick() {
		boolean wanted = this.readers.shouldRead();
		if (wanted != this.reading) {
			this.reading = wanted;
			this.commands.accept(wanted ? new EntryCommand.ReadProfiles(this.view.nextOffset())
					: new EntryCommand.StopReadingProfiles());
		}
		ProfileRecord.ProfilesCheckpoint due = this.checkpoints.due(this.view);
		if (due != null) {
			this.commands.accept(new EntryCommand.AppendCheckpoint(due));
		}
	}

	// Requests records from a peer with a higher offset.
	void heartbeatReceived(PeerMessage.Heartbeat heartbeat) {
		Instant now = this.clock.instant();
		if (heartbeat.configurationOffset() <= offset() || now.isBefore(this.nextRequestAt)) {
			return;
		}
		requestRecords(heartbeat.from(), now);
	}

	void recordsRequested(PeerMessage.LogRecordsRequest request) {
		PeerState peer = this.peers.find(request.from());
		if (peer == null || !request.stream().equals(STREAM) || request.fromOffset() >= offset()) {
			return;
		}
		this.port.send(peer.address(), new PeerMessage.LogRecordsRelay(this.self, STREAM, request.fromOffset(),
				offset(), records(request.fromOffset(), Math.min(request.limit(), MAXIMUM_RECORDS_PER_MESSAGE))));
	}

	void recordsRelayed(PeerMessage.LogRecordsRelay relay) {
		boolean readToEnd = relay.stream().equals(READ_TO_END);
		if (!readToEnd && !relay.stream().equals(STREAM)) {
			return;
		}
		if (relay.firstRetained() <= this.view.table().nextOffset()) {
			apply(relay);
			this.nextRequestAt = this.clock.instant();
		}
		if (readToEnd) {
			endRelayed(relay);
		}
	}

	// Only an entry that has applied all records of the reader may rely on it for
	// reading.
	private void endRelayed(PeerMessage.LogRecordsRelay relay) {
		if (relay.endOffset() <= offset()) {
			this.readers.endReported();
		}
		else {
			requestRecords(relay.from(), this.clock.instant());
		}
	}

	private void apply(PeerMessage.LogRecordsRelay relay) {
		List<ProfileEntry> entries = new ArrayList<>();
		for (PeerLogRecord record : relay.records()) {
			if (record.id().equals(STATE)) {
				importState(record.data());
			}
			else {
				entries.add(Objects.requireNonNullElse(this.textCodec.readEntry(record.data()),
						new ProfileEntry(record.offset(), Instant.EPOCH, null)));
			}
		}
		if (!entries.isEmpty()) {
			apply(new ProfilePage(entries.getFirst().offset(), entries.getLast().offset() + 1, entries));
		}
	}

	private void apply(ProfilePage page) {
		long before = this.view.table().nextOffset();
		this.view.apply(page);
		page.entries().stream().filter((entry) -> entry.offset() >= before).forEach(this::retain);
	}

	private void notifyFollowers(long before) {
		List<PeerState> followers = this.readers.followers();
		if (followers.isEmpty()) {
			return;
		}
		PeerMessage.LogRecordsRelay relay = fitsInOneMessage(before)
				? new PeerMessage.LogRecordsRelay(this.self, READ_TO_END, before, offset(),
						records(before, MAXIMUM_RECORDS_PER_MESSAGE))
				: new PeerMessage.LogRecordsRelay(this.self, READ_TO_END, offset(), offset(), List.of());
		followers.forEach((follower) -> this.port.send(follower.address(), relay));
	}

	// A reader that has just started reads the complete stream, which its followers
	// already have.
	private boolean fitsInOneMessage(long before) {
		ProfileEntry oldest = this.recent.peekFirst();
		return before < offset() && offset() - before <= MAXIMUM_RECORDS_PER_MESSAGE && oldest != null
				&& oldest.offset() <= before;
	}

	private void requestRecords(Incarnation from, Instant now) {
		PeerState peer = this.peers.find(from);
		if (peer != null) {
			this.nextRequestAt = now.plus(REQUEST_INTERVAL);
			this.port.send(peer.address(), new PeerMessage.LogRecordsRequest(this.self, STREAM,
					this.view.table().nextOffset(), MAXIMUM_RECORDS_PER_MESSAGE));
		}
	}

	private void importState(String data) {
		ProfileTableState state = this.textCodec.readState(data);
		if (state != null) {
			this.view.importState(state);
			this.recent.clear();
		}
	}

	private List<PeerLogRecord> records(long from, int limit) {
		ProfileEntry oldest = this.recent.peekFirst();
		if (oldest == null || oldest.offset() > from) {
			ProfileTableState state = this.view.table().exportState();
			return List.of(new PeerLogRecord(state.throughOffset(), STATE, this.textCodec.write(state)));
		}
		return this.recent.stream()
			.filter((entry) -> entry.offset() >= from)
			.limit(limit)
			.map((entry) -> new PeerLogRecord(entry.offset(), "", this.textCodec.write(entry)))
			.toList();
	}

	private void retain(ProfileEntry entry) {
		ProfileEntry last = this.recent.peekLast();
		if (last != null && entry.offset() != last.offset() + 1) {
			this.recent.clear();
		}
		this.recent.addLast(entry);
		if (this.recent.size() > MAXIMUM_RECENT_RECORDS) {
			this.recent.removeFirst();
		}
	}

}
