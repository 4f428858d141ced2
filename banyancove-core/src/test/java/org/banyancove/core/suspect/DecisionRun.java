package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.assertj.core.data.Offset;
import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.admission.AdmissionDecision;
import org.banyancove.core.admission.AdmissionRequest;
import org.banyancove.core.admission.AdmissionSystem;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.retry.RetryBudget;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.retry.RetryPolicy;
import org.banyancove.core.retry.RetryRequest;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.CacheChange;
import org.banyancove.core.routing.Endpoint;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.LoadReport;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.routing.PlacementRequest;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.routing.PromptPrefix;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A randomised simulation of two entries that place requests at shared endpoints, with
 * fault injection.
 */
final class DecisionRun {

	enum Fault {

		NOTICE, WAVE, CRASH, LOST_BEFORE_NOTICE, FAILED_ATTEMPT, OUTDATED_LIST, CACHE_GAP, REPEAT_OF_POISON

	}

	private static final ServiceName SERVICE = new ServiceName("planning");

	private static final int ZONES = 3;

	private static final AccountName POISON_ACCOUNT = new AccountName("account-0");

	private static final Fingerprint POISON = Fingerprint.of(POISON_ACCOUNT, new byte[] { 66 });

	private final Random random;

	private final Profile profile;

	private final List<Entry> entries = List.of(new Entry(), new Entry());

	private final Map<EndpointId, EndpointDefinition> alive = new LinkedHashMap<>();

	private final Map<EndpointId, EndpointDefinition> noticed = new LinkedHashMap<>();

	private final Map<EndpointId, EndpointDefinition> leaving = new LinkedHashMap<>();

	private final Map<Fault, Integer> faults = new EnumMap<>(Fault.class);

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private int count;

	private int completed;

	private int refused;

	private int stopped;

	private int poisonCrashes;

	private int harmlessStopped;

	private final Map<Fingerprint, Integer> unannouncedLosses = new LinkedHashMap<>();

	DecisionRun(long seed) {
		this.random = new Random(seed);
		PlacementPolicyName policy = List.of(PlacementPolicyName.values()).get(this.random.nextInt(4));
		this.profile = new Profile(new ProfileName("p"), Duration.ofMillis(500), Duration.ofMillis(50),
				Duration.ofSeconds(8), 0.95, 1, policy, 0.2, 0.5, false, 1 << 20);
	}

	String run(int steps) {
		for (int i = 0; i < 9; i++) {
			startVm();
		}
		for (int step = 0; step < steps; step++) {
			this.now = this.now.plusMillis(1 + this.random.nextInt(40));
			step();
			this.entries.forEach(Entry::check);
		}
		drain();
		return "steps %d, faults %s, completed %d, refused %d, stopped %d, harmless stopped %d, crashes by the poison request %d"
			.formatted(steps, this.faults, this.completed, this.refused, this.stopped, this.harmlessStopped,
					this.poisonCrashes);
	}

	int completed() {
		return this.completed;
	}

	int poisonCrashes() {
		return this.poisonCrashes;
	}

	int harmlessStopped() {
		return this.harmlessStopped;
	}

	int faultKinds() {
		return this.faults.size();
	}

	private void step() {
		Entry entry = this.entries.get(this.random.nextInt(2));
		switch (this.random.nextInt(40)) {
			case 0 -> announceReclaim(randomLiveEndpoint());
			case 1 -> withLowProbability(Fault.WAVE, this::reclaimWave);
			case 2 -> withLowProbability(Fault.CRASH, () -> randomLiveEndpoint().ifPresent((id) -> loseEndpoint(id)));
			case 3 -> entry.arrive(POISON_ACCOUNT, POISON);
			case 4 -> outdatedList(entry);
			case 5 -> exchangeSuspects();
			case 6, 7 -> reportLoad(entry);
			case 8, 9 -> cacheEvent(entry);
			case 10 -> startVm();
			case 11 -> reclaimNoticedVms();
			case 12, 13 -> entry.tick();
			case 14, 15, 16, 17, 18, 19, 20, 21, 22, 23 -> entry.arrive(randomAccount(), newFingerprint());
			default -> entry.progress();
		}
	}

	private void withLowProbability(Fault fault, Runnable action) {
		if (this.random.nextInt(8) == 0) {
			count(fault);
			action.run();
		}
	}

	private void count(Fault fault) {
		this.faults.merge(fault, 1, Integer::sum);
	}

	private void startVm() {
		if (this.alive.size() > 12) {
			return;
		}
		this.count++;
		int zone = this.random.nextInt(ZONES);
		EndpointDefinition definition = new EndpointDefinition(new EndpointId("e" + this.count),
				new VmId("vm" + this.count), new DataCenterName("dc" + zone), new ZoneName("zone" + zone),
				new MachineClass("m" + zone), SERVICE, "127.0.0.1:1", 1 + zone);
		this.alive.put(definition.id(), definition);
		this.entries.forEach((entry) -> entry.table.put(definition, this.now));
	}

	private Optional<EndpointId> randomLiveEndpoint() {
		List<EndpointId> ids = List.copyOf(this.alive.keySet());
		return (ids.isEmpty() ? Optional.empty() : Optional.of(ids.get(this.random.nextInt(ids.size()))));
	}

	private void announceReclaim(Optional<EndpointId> endpoint) {
		endpoint.filter((id) -> this.alive.size() > 3).ifPresent((id) -> {
			count(Fault.NOTICE);
			EndpointDefinition definition = Objects.requireNonNull(this.alive.remove(id));
			this.noticed.put(id, definition);
			this.leaving.put(id, definition);
			this.entries.forEach((entry) -> entry.announceReclaim(definition));
		});
	}

	private void reclaimWave() {
		ZoneName zone = new ZoneName("zone" + this.random.nextInt(ZONES));
		for (EndpointDefinition definition : List.copyOf(this.alive.values())) {
			if (definition.zone().equals(zone)) {
				if (this.random.nextInt(3) == 0) {
					count(Fault.LOST_BEFORE_NOTICE);
					loseEndpoint(definition.id());
				}
				else {
					announceReclaim(Optional.of(definition.id()));
				}
			}
		}
	}

	private void reclaimNoticedVms() {
		for (EndpointDefinition definition : List.copyOf(this.leaving.values())) {
			this.leaving.remove(definition.id());
			this.entries.forEach((entry) -> entry.lost(definition));
			this.entries.forEach((entry) -> entry.table.remove(definition.id(), this.now));
		}
	}

	private void loseEndpoint(EndpointId id) {
		EndpointDefinition definition = Objects.requireNonNull(this.alive.remove(id));
		this.entries.forEach((entry) -> entry.lost(definition));
	}

	private void crash(EndpointId id) {
		if (this.alive.containsKey(id)) {
			loseEndpoint(id);
			return;
		}
		EndpointDefinition definition = Objects.requireNonNull(this.leaving.remove(id));
		this.entries.forEach((entry) -> entry.lost(definition));
	}

	private void recordStopped(Fingerprint fingerprint) {
		if (fingerprint.equals(POISON)) {
			this.stopped++;
			return;
		}
		// Faults are so frequent here that a harmless request occasionally runs at two
		// endpoints that are lost for other reasons; it is then indistinguishable from
		// the poison request.
		this.harmlessStopped++;
		int losses = this.unannouncedLosses.getOrDefault(fingerprint, 0);
		assertThat(losses).as("endpoints lost while running a refused request").isGreaterThanOrEqualTo(2);
	}

	private void outdatedList(Entry entry) {
		count(Fault.OUTDATED_LIST);
		this.noticed.values().forEach((definition) -> entry.table.put(definition, this.now.plusSeconds(5)));
	}

	private void exchangeSuspects() {
		List<SuspectRecord> records = this.entries.get(0).suspects.records();
		this.entries.get(0).suspects.merge(this.entries.get(1).suspects.records());
		this.entries.get(1).suspects.merge(records);
		randomLiveEndpoint().ifPresent((id) -> this.entries.get(0).table.peerSent(id, 2, this.now));
	}

	private void reportLoad(Entry entry) {
		randomLiveEndpoint().ifPresent(
				(id) -> entry.table.loadReported(id, new LoadReport(this.now.minusMillis(this.random.nextInt(2000)),
						this.random.nextInt(6), this.random.nextInt(3), 100, this.random.nextInt(1000), 1000)));
	}

	private void cacheEvent(Entry entry) {
		count(Fault.CACHE_GAP);
		CacheChange.Kind kind = List.of(CacheChange.Kind.values()).get(this.random.nextInt(2));
		PromptPrefix prefix = new PromptPrefix(this.random.nextInt(20), 64);
		randomLiveEndpoint()
			.ifPresent((id) -> entry.table.cacheChanged(id, new CacheChange(this.random.nextInt(1000), kind, prefix)));
	}

	private AccountName randomAccount() {
		return new AccountName("account-" + this.random.nextInt(5));
	}

	private Fingerprint newFingerprint() {
		this.count++;
		return new Fingerprint(1, this.count);
	}

	private void drain() {
		for (int i = 0; i < 3000; i++) {
			this.now = this.now.plusMillis(20);
			this.entries.forEach(Entry::progress);
			this.entries.forEach(Entry::tick);
		}
		for (Entry entry : this.entries) {
			assertThat(entry.calls).as("every request ends under all faults").isEmpty();
			assertThat(entry.admission.runningCount(SERVICE)).isZero();
			assertThat(entry.admission.waitingCount(SERVICE)).isZero();
			assertThat(entry.table.ownInFlight(SERVICE)).isZero();
		}
	}

	/**
	 * One entry with its core systems and requests.
	 */
	private final class Entry {

		private final InstantSource clock = () -> DecisionRun.this.now;

		private final EndpointTable table = new EndpointTable();

		private final PlacementSystem placement = new PlacementSystem(this.table, this.clock, new Random(1));

		private final AdmissionSystem admission = new AdmissionSystem(this.table, this.clock);

		private final RetryPolicy retries = new RetryPolicy(this.clock);

		private final SuspectSystem suspects = new SuspectSystem(this.clock, Duration.ofSeconds(1));

		private final Map<RequestId, Call> calls = new LinkedHashMap<>();

		void arrive(AccountName account, Fingerprint fingerprint) {
			DecisionRun.this.count++;
			RequestId id = new RequestId("r" + DecisionRun.this.count);
			Call call = new Call(id, account, fingerprint, DecisionRun.this.now);
			if (fingerprint.equals(POISON)) {
				count(Fault.REPEAT_OF_POISON);
			}
			this.calls.put(id, call);
			applyDecision(this.admission.offer(new AdmissionRequest(id, account, SERVICE, DecisionRun.this.profile,
					DecisionRun.this.now, 100, 1)));
		}

		void tick() {
			this.suspects.tick();
			this.admission.tick().forEach(this::applyDecision);
			for (Call call : List.copyOf(this.calls.values())) {
				if (call.admitted && call.endpoint == null && this.calls.containsKey(call.id)) {
					place(call);
				}
			}
		}

		void announceReclaim(EndpointDefinition definition) {
			this.suspects.reclaimNoticeReceived(definition.vm(), definition.zone());
			this.table.markLeaving(definition.vm(), DecisionRun.this.now.plusSeconds(30), DecisionRun.this.now);
		}

		void lost(EndpointDefinition definition) {
			this.suspects.endpointLost(definition.id(), definition.vm(), definition.zone());
			this.table.markGone(definition.id(), DecisionRun.this.now);
			for (Call call : List.copyOf(this.calls.values())) {
				if (definition.id().equals(call.endpoint)) {
					if (!DecisionRun.this.noticed.containsKey(definition.id())) {
						DecisionRun.this.unannouncedLosses.merge(call.fingerprint, 1, Integer::sum);
					}
					attemptFailed(call);
				}
			}
		}

		void progress() {
			List<Call> running = this.calls.values().stream().filter((call) -> call.endpoint != null).toList();
			if (running.isEmpty()) {
				return;
			}
			Call call = running.get(DecisionRun.this.random.nextInt(running.size()));
			EndpointId endpoint = call.endpoint();
			if (call.fingerprint.equals(POISON)) {
				DecisionRun.this.poisonCrashes++;
				crash(endpoint);
			}
			else if (!call.firstToken) {
				call.firstToken = true;
				this.table.firstTokenReceived(endpoint, call.id, DecisionRun.this.now);
			}
			else if (DecisionRun.this.random.nextInt(30) == 0) {
				count(Fault.FAILED_ATTEMPT);
				this.suspects.attemptEnded(call.id, endpoint, false);
				this.table.attemptEnded(endpoint, call.id, AttemptOutcome.FAILED, DecisionRun.this.now);
				attemptFailed(call);
			}
			else {
				this.table.tokensReceived(endpoint, call.id, 10, DecisionRun.this.now);
				this.suspects.attemptEnded(call.id, endpoint, true);
				this.table.attemptEnded(endpoint, call.id, AttemptOutcome.COMPLETED, DecisionRun.this.now);
				DecisionRun.this.completed++;
				end(call);
			}
		}

		void check() {
			double free = 0;
			for (Endpoint endpoint : this.table.byService(SERVICE)) {
				assertThat(DecisionRun.this.noticed).doesNotContainKey(endpoint.id());
				free += Math.max(0, endpoint.concurrencyLimit() - endpoint.ownInFlight());
			}
			assertThat(this.table.freeCapacity(SERVICE)).isCloseTo(free, Offset.offset(1e-6));
			long running = this.calls.values().stream().filter((call) -> call.endpoint != null).count();
			assertThat(this.table.ownInFlight(SERVICE)).isEqualTo((int) running);
			Optional<RetryBudget> budget = this.retries.budget(SERVICE);
			budget.ifPresent((each) -> assertThat((double) each.retries())
				.isLessThanOrEqualTo(3 + 0.2 * each.firstAttempts() + 1e-6));
		}

		private void applyDecision(AdmissionDecision decision) {
			Call call = Objects.requireNonNull(this.calls.get(decision.request()));
			if (decision instanceof AdmissionDecision.Admitted) {
				call.admitted = true;
				this.retries.firstAttempt(SERVICE, DecisionRun.this.profile);
				place(call);
			}
			else if (decision instanceof AdmissionDecision.Refused answer) {
				assertThat(answer.retryAfter()).isPositive();
				refuse(call);
			}
		}

		private void place(Call call) {
			if (DecisionRun.this.now.isAfter(call.at.plus(DecisionRun.this.profile.deadline()))) {
				refuse(call);
				return;
			}
			Set<EndpointId> excluded = new HashSet<>(call.failedAt);
			switch (this.suspects.decide(call.fingerprint)) {
				case SuspectDecision.NotSuspect notSuspect -> place(call, excluded);
				case SuspectDecision.RunIsolated isolated -> {
					excluded.addAll(isolated.excluded());
					place(call, excluded);
				}
				case SuspectDecision.Wait wait -> assertThat(wait.retryAfter()).isPositive();
				case SuspectDecision.Refused refusal -> {
					recordStopped(call.fingerprint);
					end(call);
				}
			}
		}

		private void place(Call call, Set<EndpointId> excluded) {
			PlacementRequest request = new PlacementRequest(call.id, call.account, SERVICE, DecisionRun.this.profile,
					List.of(new PromptPrefix(call.account.hashCode() % 20, 64)), 100, 20, excluded, call.at,
					Optional.empty());
			switch (this.placement.place(request)) {
				case PlacementDecision.Placed placed -> {
					assertThat(DecisionRun.this.noticed).doesNotContainKey(placed.endpoint());
					assertThat(excluded).doesNotContain(placed.endpoint());
					call.endpoint = placed.endpoint();
					call.attempts++;
					call.firstToken = false;
					this.table.attemptStarted(placed, request, DecisionRun.this.now);
					this.suspects.attemptStarted(call.id, call.fingerprint, placed.endpoint());
				}
				case PlacementDecision.Refused answer -> assertThat(answer.retryAfter()).isPositive();
			}
		}

		private void attemptFailed(Call call) {
			call.failedAt.add(call.endpoint());
			call.endpoint = null;
			RetryDecision decision = this.retries.decide(new RetryRequest(SERVICE, DecisionRun.this.profile, true,
					false, call.failedAt, call.attempts, call.at));
			switch (decision) {
				case RetryDecision.Retry retry -> place(call);
				case RetryDecision.GiveUp giveUp -> {
					assertThat(giveUp.retryAfter()).isPositive();
					refuse(call);
				}
			}
		}

		private void refuse(Call call) {
			DecisionRun.this.refused++;
			end(call);
		}

		private void end(Call call) {
			assertThat(this.calls.remove(call.id)).as("a request ends once").isNotNull();
			if (call.admitted) {
				new ArrayList<>(this.admission.released(SERVICE, call.id)).forEach(this::applyDecision);
			}
		}

	}

	/**
	 * A request at an entry.
	 */
	private static final class Call {

		private final RequestId id;

		private final AccountName account;

		private final Fingerprint fingerprint;

		private final Instant at;

		private final Set<EndpointId> failedAt = new HashSet<>();

		private @Nullable EndpointId endpoint;

		private boolean admitted;

		private boolean firstToken;

		private int attempts;

		Call(RequestId id, AccountName account, Fingerprint fingerprint, Instant at) {
			this.id = id;
			this.account = account;
			this.fingerprint = fingerprint;
			this.at = at;
		}

		private EndpointId endpoint() {
			return Objects.requireNonNull(this.endpoint);
		}

	}

}
