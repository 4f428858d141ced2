package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ledger.AppendResult;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.ledger.LoggedRecord;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;

/**
 * An in-memory fake of the platform's log and list of VMs.
 */
final class FakePlatform {

	private static final ProfileName PROFILE = new ProfileName("dawn");

	private final EntryRun run;

	private final Map<KeySlot, List<LoggedRecord>> keys = new HashMap<>();

	private final List<ProfileEntry> profiles = new ArrayList<>();

	private final Map<String, Object> texts = new HashMap<>();

	private Instant downUntil = Instant.MIN;

	private int loseAnswers;

	private int delayAppends;

	private long lastRevision;

	FakePlatform(EntryRun run) {
		this.run = run;
		publish(new ProfileRecord.ProfileChanged("profile-0", -1, profile(0)));
		publish(new ProfileRecord.ServiceChanged("planning", -1, service(EntryRun.PLANNING, ServiceKind.MODEL)));
		publish(new ProfileRecord.ServiceChanged("orders", -1, service(EntryRun.ORDERS, ServiceKind.PLAIN)));
	}

	void down(Duration duration) {
		this.downUntil = this.run.now().plus(duration);
	}

	void loseAnswers() {
		this.loseAnswers += 3;
	}

	void delayAppends() {
		this.delayAppends += 3;
	}

	void endFaults() {
		this.downUntil = Instant.MIN;
		this.loseAnswers = 0;
		this.delayAppends = 0;
	}

	// Two operators change the profile from the same revision; one of the changes
	// is accepted.
	void changeProfile() {
		long expected = this.lastRevision;
		long offset = this.profiles.size();
		for (int operator = 0; operator < 2; operator++) {
			publish(new ProfileRecord.ProfileChanged("change-" + offset + "-" + operator, expected, profile(operator)));
		}
		this.lastRevision = offset;
	}

	long lastRevision() {
		return this.lastRevision;
	}

	long profilesEnd() {
		return this.profiles.size();
	}

	String textOf(Object object) {
		String text = "text-" + this.texts.size();
		this.texts.put(text, object);
		return text;
	}

	Object objectOf(String text) {
		return Objects.requireNonNull(this.texts.get(text));
	}

	void append(FakeEntry entry, int incarnation, EntryCommand.AppendToLog append) {
		if (isDown()) {
			this.run.after(50, 3000, () -> answer(entry, incarnation, append, new AppendResult.Unanswered()));
			return;
		}
		if (this.delayAppends > 0) {
			this.delayAppends--;
			this.run.after(2000, 20_000, () -> write(append));
			this.run.after(1000, 2000, () -> answer(entry, incarnation, append, new AppendResult.Unanswered()));
			return;
		}
		this.run.after(1, 10, () -> {
			long first = write(append);
			boolean lost = this.loseAnswers > 0;
			this.loseAnswers = Math.max(0, this.loseAnswers - 1);
			long last = first + append.records().size() - 1;
			AppendResult result = lost ? new AppendResult.Unanswered() : new AppendResult.Appended(first, last);
			this.run.after(lost ? 2000 : 1, lost ? 3000 : 10, () -> answer(entry, incarnation, append, result));
		});
	}

	void startReading(FakeEntry entry, int incarnation) {
		read(entry, incarnation, new HashMap<>());
		list(entry, incarnation);
	}

	private void read(FakeEntry entry, int incarnation, Map<KeySlot, Long> read) {
		if (!entry.isAlive() || entry.incarnation() != incarnation) {
			return;
		}
		if (!isDown()) {
			for (int index = 0; index < KeySlot.DEFAULT_COUNT; index++) {
				readSlot(entry, incarnation, new KeySlot(index), read);
			}
			if (entry.readsProfiles()) {
				readProfiles(entry, incarnation);
			}
		}
		this.run.after(5, 40, () -> read(entry, incarnation, read));
	}

	private void readProfiles(FakeEntry entry, int incarnation) {
		long next = entry.core().profiles().nextOffset();
		List<ProfileEntry> remaining = this.profiles.subList((int) Math.min(next, this.profiles.size()),
				this.profiles.size());
		entry.handle(incarnation, new EntryEvent.ProfilesRead(new ProfilePage(0, this.profiles.size(), remaining)));
	}

	private void readSlot(FakeEntry entry, int incarnation, KeySlot slot, Map<KeySlot, Long> read) {
		List<LoggedRecord> records = this.keys.getOrDefault(slot, List.of());
		long next = read.getOrDefault(slot, 0L);
		if (next == records.size() && read.containsKey(slot)) {
			return;
		}
		read.put(slot, (long) records.size());
		entry.handle(incarnation,
				new EntryEvent.KeysRead(slot, 0, records.size(), records.subList((int) next, records.size())));
	}

	private void list(FakeEntry entry, int incarnation) {
		if (!entry.isAlive() || entry.incarnation() != incarnation) {
			return;
		}
		List<PeerSeed> seeds = this.run.entries.stream()
			.map((other) -> new PeerSeed(other.address(), other.vm(), false))
			.toList();
		entry.handle(incarnation, this.run.endpoints.listed(seeds));
		this.run.after(800, 1200, () -> list(entry, incarnation));
	}

	private long write(EntryCommand.AppendToLog append) {
		List<LoggedRecord> records = this.keys.computeIfAbsent(append.slot(), (slot) -> new ArrayList<>());
		long first = records.size();
		for (LedgerRecord record : append.records()) {
			records.add(new LoggedRecord(records.size(), record, this.run.now()));
		}
		return first;
	}

	private void answer(FakeEntry entry, int incarnation, EntryCommand.AppendToLog append, AppendResult result) {
		entry.handle(incarnation, new EntryEvent.AppendAnswered(append.append(), result));
	}

	private boolean isDown() {
		return this.downUntil.isAfter(this.run.now());
	}

	private void publish(ProfileRecord record) {
		this.profiles.add(new ProfileEntry(this.profiles.size(), this.run.now(), record));
	}

	private static Profile profile(int priority) {
		return new Profile(PROFILE, Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofSeconds(90), 0.95,
				priority, PlacementPolicyName.COST_AT_TARGET, 0.5, 1, false, 1 << 20);
	}

	private static ServiceDefinition service(ServiceName name, ServiceKind kind) {
		return new ServiceDefinition(name, kind, PROFILE, ServiceState.ACTIVE, Set.of("GET"), false);
	}

}
