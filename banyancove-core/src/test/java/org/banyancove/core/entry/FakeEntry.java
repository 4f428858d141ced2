package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfileTableState;
import org.jspecify.annotations.Nullable;

/**
 * A fake of one entry VM: runs a core, which can be killed, paused and restarted, and
 * connects it to the other fakes.
 */
final class FakeEntry {

	private final EntryRun run;

	private final int index;

	private final Deque<EntryEvent> delayedEvents = new ArrayDeque<>();

	private int incarnation;

	private boolean alive;

	private Instant pausedUntil = Instant.MIN;

	private boolean readsProfiles;

	private @Nullable EntryCore core;

	FakeEntry(EntryRun run, int index) {
		this.run = run;
		this.index = index;
		start();
	}

	int dataCenter() {
		return this.index / 2;
	}

	int incarnation() {
		return this.incarnation;
	}

	String address() {
		return "entry-" + this.index + ":" + this.incarnation;
	}

	EntryCore core() {
		return Objects.requireNonNull(this.core);
	}

	boolean readsProfiles() {
		return this.readsProfiles;
	}

	VmId vm() {
		return EntryRun.vm("entry-" + this.index + "-" + this.incarnation);
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean isReachable() {
		return this.alive && !this.pausedUntil.isAfter(this.run.now()) && core().isReady();
	}

	void kill() {
		if (this.alive) {
			this.alive = false;
			this.run.callers.forEach((caller) -> caller.entryFailed(this));
			this.run.after(500, 3000, this::start);
		}
	}

	void pause(Duration duration) {
		this.pausedUntil = this.run.now().plus(duration);
		this.run.after(duration, this::resume);
	}

	void reclaim() {
		if (!this.alive) {
			return;
		}
		int reclaimed = this.incarnation;
		Instant at = this.run.now().plusSeconds(10);
		EntryEvent.ReclaimNotice notice = new EntryEvent.ReclaimNotice(vm(), at);
		handle(new EntryEvent.ReclaimAnnounced(notice));
		this.run.after(Duration.ofSeconds(10), () -> {
			if (this.incarnation == reclaimed) {
				kill();
			}
		});
	}

	// Passes an event to the current incarnation of the process, at once or when
	// its pause ends.
	void handle(EntryEvent event) {
		if (!this.alive) {
			return;
		}
		if (this.pausedUntil.isAfter(this.run.now())) {
			this.delayedEvents.add(event);
			return;
		}
		core().handle(event);
	}

	void handle(int expectedIncarnation, EntryEvent event) {
		if (this.incarnation == expectedIncarnation) {
			handle(event);
		}
	}

	private void resume() {
		while (this.alive && !this.pausedUntil.isAfter(this.run.now()) && !this.delayedEvents.isEmpty()) {
			core().handle(this.delayedEvents.remove());
		}
	}

	private void start() {
		this.incarnation = this.run.nextIncarnation();
		this.alive = true;
		this.readsProfiles = false;
		this.pausedUntil = Instant.MIN;
		this.delayedEvents.clear();
		DataCenterName dataCenter = EntryRun.dataCenter(dataCenter());
		EntryIdentity identity = new EntryIdentity(new Incarnation(vm(), this.incarnation), dataCenter,
				EntryRun.zone(dataCenter()), address());
		Set<DataCenterName> nearby = IntStream.range(0, 3).mapToObj(EntryRun::dataCenter).collect(Collectors.toSet());
		int ownIncarnation = this.incarnation;
		this.core = new EntryCore(identity, EntrySettings.defaults(nearby), new InMemoryTextCodec(), this.run::now,
				RandomGeneratorFactory.of("L64X128MixRandom").create(this.incarnation),
				(command) -> execute(ownIncarnation, command));
		tick(ownIncarnation);
		this.run.platform.startReading(this, ownIncarnation);
	}

	private void tick(int ownIncarnation) {
		if (this.incarnation == ownIncarnation && this.alive) {
			handle(new EntryEvent.Ticked());
			this.run.after(EntryRun.step(), () -> tick(ownIncarnation));
		}
	}

	private void execute(int ownIncarnation, EntryCommand command) {
		switch (command) {
			case EntryCommand.Deliver deliver -> this.run.callers.forEach((caller) -> caller.delivered(this, deliver));
			case EntryCommand.StartAttempt start -> this.run.endpoints.start(this, ownIncarnation, start);
			case EntryCommand.FailAttempt fail ->
				this.run.after(0, 1, () -> handle(ownIncarnation, new EntryEvent.AttemptEnded(fail.request(),
						fail.attempt(), new AttemptResult.NeverSent("endpoint removed"))));
			case EntryCommand.CancelAttempt cancel -> this.run.endpoints.cancel(ownIncarnation, cancel);
			case EntryCommand.CancelStream cancel -> this.run.endpoints.cancelStream(cancel);
			case EntryCommand.MoveCache move -> this.run.endpoints.moveCache(this, ownIncarnation, move);
			case EntryCommand.SendToPeer send -> send(send);
			case EntryCommand.ReadProfiles _ -> this.readsProfiles = true;
			case EntryCommand.StopReadingProfiles _ -> this.readsProfiles = false;
			case EntryCommand.AppendCheckpoint _, EntryCommand.RecordSample _ -> {
			}
			case EntryCommand.AppendToLog append -> this.run.platform.append(this, ownIncarnation, append);
		}
	}

	private void send(EntryCommand.SendToPeer send) {
		FakeEntry receiver = this.run.entryAt(send.address());
		if (receiver == null || this.run.isPartitioned(this, receiver)) {
			return;
		}
		int receiverIncarnation = receiver.incarnation;
		this.run.after(1, 5,
				() -> receiver.handle(receiverIncarnation, new EntryEvent.PeerMessageArrived(send.message())));
	}

	/**
	 * Keeps the encoded objects in memory; the JSON codec has tests of its own.
	 */
	private final class InMemoryTextCodec implements ProfileTextCodec {

		@Override
		public String write(ProfileEntry entry) {
			return FakeEntry.this.run.platform.textOf(entry);
		}

		@Override
		public String write(ProfileTableState state) {
			return FakeEntry.this.run.platform.textOf(state);
		}

		@Override
		public @Nullable ProfileEntry readEntry(String text) {
			return (ProfileEntry) FakeEntry.this.run.platform.objectOf(text);
		}

		@Override
		public @Nullable ProfileTableState readState(String text) {
			return (ProfileTableState) FakeEntry.this.run.platform.objectOf(text);
		}

	}

}
