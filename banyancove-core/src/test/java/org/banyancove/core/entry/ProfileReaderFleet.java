package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ProfileName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTableState;

/**
 * A simulated fleet of entries that receive profiles by long polls of a log and from each
 * other. Counts the reads of the log.
 */
final class ProfileReaderFleet {

	private static final Duration STEP = Duration.ofMillis(50);

	private static final Duration READ_WAIT = Duration.ofSeconds(5);

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

	final List<Member> members = new ArrayList<>();

	private final List<ProfileEntry> log = new ArrayList<>();

	private final List<Object> texts = new ArrayList<>();

	private final int readers;

	private Deque<SentMessage> inFlight = new ArrayDeque<>();

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private long reads;

	ProfileReaderFleet(int dataCenters, int entriesEach, int readers) {
		this.readers = readers;
		for (int dataCenter = 0; dataCenter < dataCenters; dataCenter++) {
			for (int number = 0; number < entriesEach; number++) {
				this.members.add(new Member(dataCenter, number));
			}
		}
		this.members.forEach(this::list);
	}

	// Starts a further entry in the first data center.
	Member join() {
		Member member = new Member(0, this.members.size());
		this.members.add(member);
		list(member);
		return member;
	}

	private void list(Member member) {
		List<PeerSeed> seeds = this.members.stream()
			.limit(3)
			.map((seed) -> new PeerSeed(seed.address, seed.vm, false))
			.toList();
		member.core.handle(new EntryEvent.VmsListed(this.now, List.of(), List.of(), seeds));
	}

	void run(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			step();
		}
	}

	void change() {
		Profile profile = new Profile(new ProfileName("profile-" + this.log.size()), Duration.ofSeconds(2),
				Duration.ofMillis(100), Duration.ofSeconds(90), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.5, 1,
				false, 1 << 20);
		this.log.add(new ProfileEntry(this.log.size(), this.now,
				new ProfileRecord.ProfileChanged("change-" + this.log.size(), -1, profile)));
	}

	// Runs until all live entries have applied the log, and returns the time that
	// it took.
	Duration runUntilApplied(Duration atMost) {
		Instant start = this.now;
		while (this.now.isBefore(start.plus(atMost)) && !liveMembers().stream().allMatch(this::isCurrent)) {
			step();
		}
		return Duration.between(start, this.now);
	}

	List<Member> readingMembers() {
		return liveMembers().stream().filter((member) -> member.reads).toList();
	}

	long drainReads() {
		long drained = this.reads;
		this.reads = 0;
		return drained;
	}

	private List<Member> liveMembers() {
		return this.members.stream().filter((member) -> member.alive).toList();
	}

	private boolean isCurrent(Member member) {
		return member.core.profiles().table().nextOffset() == this.log.size();
	}

	private void step() {
		this.now = this.now.plus(STEP);
		Deque<SentMessage> arriving = this.inFlight;
		this.inFlight = new ArrayDeque<>();
		for (SentMessage sent : arriving) {
			liveMembers().stream()
				.filter((member) -> member.address.equals(sent.address))
				.forEach((member) -> member.core.handle(new EntryEvent.PeerMessageArrived(sent.message)));
		}
		for (Member member : liveMembers()) {
			member.stepRead();
			member.core.handle(new EntryEvent.Ticked());
		}
	}

	/**
	 * An entry and its read of the log.
	 */
	final class Member {

		final VmId vm;

		final String address;

		final EntryCore core;

		boolean alive = true;

		boolean partitionedFromLog;

		Duration lag = Duration.ZERO;

		boolean reads;

		private final Deque<Page> pages = new ArrayDeque<>();

		private long next;

		private Instant requestedAt = Instant.MAX;

		Member(int dataCenter, int number) {
			this.vm = new VmId("vm-" + dataCenter + "-" + number);
			this.address = "entry-" + dataCenter + "-" + number + ":1";
			long start = dataCenter * 1000L + number;
			DataCenterName name = new DataCenterName("dc-" + dataCenter);
			EntryIdentity identity = new EntryIdentity(new Incarnation(this.vm, start), name,
					new ZoneName("zone-" + number % 3), this.address);
			this.core = new EntryCore(identity,
					EntrySettings.defaults(Set.of()).withProfileReaders(ProfileReaderFleet.this.readers),
					new InMemoryTextCodec(), () -> ProfileReaderFleet.this.now,
					RandomGeneratorFactory.of("L64X128MixRandom").create(810 + start), this::execute);
		}

		private void execute(EntryCommand command) {
			switch (command) {
				case EntryCommand.SendToPeer send ->
					ProfileReaderFleet.this.inFlight.add(new SentMessage(send.address(), send.message()));
				case EntryCommand.ReadProfiles read -> {
					this.reads = true;
					this.next = read.fromOffset();
					this.requestedAt = Instant.MAX;
				}
				case EntryCommand.StopReadingProfiles _ -> this.reads = false;
				default -> {
				}
			}
		}

		private void stepRead() {
			Instant time = ProfileReaderFleet.this.now;
			while (!this.pages.isEmpty() && !this.pages.peek().at.isAfter(time)) {
				this.core.handle(new EntryEvent.ProfilesRead(this.pages.remove().page));
				this.requestedAt = Instant.MAX;
			}
			if (!this.reads || !this.pages.isEmpty()) {
				return;
			}
			if (this.requestedAt.equals(Instant.MAX)) {
				this.requestedAt = time;
				ProfileReaderFleet.this.reads++;
			}
			if (this.partitionedFromLog) {
				failIfTimedOut(time);
			}
			else {
				answerIfDue(time);
			}
		}

		private void failIfTimedOut(Instant time) {
			if (!this.requestedAt.plus(READ_TIMEOUT).isAfter(time)) {
				this.requestedAt = Instant.MAX;
			}
		}

		private void answerIfDue(Instant time) {
			int size = ProfileReaderFleet.this.log.size();
			if (size > this.next || !this.requestedAt.plus(READ_WAIT).isAfter(time)) {
				List<ProfileEntry> remaining = List.copyOf(ProfileReaderFleet.this.log.subList((int) this.next, size));
				this.pages.add(new Page(time.plus(this.lag), new ProfilePage(0, size, remaining)));
				this.next = size;
			}
		}

	}

	/**
	 * Keeps the encoded objects in memory; the JSON codec has tests of its own.
	 */
	private final class InMemoryTextCodec implements ProfileTextCodec {

		@Override
		public String write(ProfileEntry entry) {
			return keep(entry);
		}

		@Override
		public String write(ProfileTableState state) {
			return keep(state);
		}

		@Override
		public ProfileEntry readEntry(String text) {
			return (ProfileEntry) ProfileReaderFleet.this.texts.get(Integer.parseInt(text));
		}

		@Override
		public ProfileTableState readState(String text) {
			return (ProfileTableState) ProfileReaderFleet.this.texts.get(Integer.parseInt(text));
		}

		private String keep(Object object) {
			ProfileReaderFleet.this.texts.add(object);
			return String.valueOf(ProfileReaderFleet.this.texts.size() - 1);
		}

	}

	private record SentMessage(String address, PeerMessage message) {

	}

	private record Page(Instant at, ProfilePage page) {

	}

}
