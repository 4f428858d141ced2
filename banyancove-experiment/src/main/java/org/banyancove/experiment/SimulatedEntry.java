package org.banyancove.experiment;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.admission.AdmissionDecision;
import org.banyancove.core.admission.AdmissionRequest;
import org.banyancove.core.admission.AdmissionSystem;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.retry.RetryPolicy;
import org.banyancove.core.retry.RetryRequest;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.routing.PlacementRequest;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.routing.PromptPrefix;
import org.jspecify.annotations.Nullable;

/**
 * Simulates an entry: passes events to the core and executes its decisions.
 */
final class SimulatedEntry {

	/** Streams that still run this long before a reclaim are moved. */
	private static final double MOVE_LEAD_SECONDS = 2;

	private static final int OUTPUT_TOKEN_COST = 4;

	private static final double ATTEMPT_FAILURE_PROBABILITY = 0.002;

	private final RunSettings settings;

	private final EventQueue events;

	private final EndpointTable table = new EndpointTable();

	private final Map<EndpointId, SimulatedEndpoint> endpoints;

	private final RunMetrics metrics;

	private final RandomGenerator random;

	private final PlacementSystem placement;

	private final AdmissionSystem admission;

	private final RetryPolicy retries;

	private final Map<RequestId, RequestState> requests = new LinkedHashMap<>();

	private final Set<RequestState> unplaced = new LinkedHashSet<>();

	private final Map<EndpointId, Integer> attemptsSent = new LinkedHashMap<>();

	private final Map<EndpointId, EndpointDefinition> restarting = new HashMap<>();

	SimulatedEntry(RunSettings settings, EventQueue events, Map<EndpointId, SimulatedEndpoint> endpoints,
			RunMetrics metrics, RandomGenerator random) {
		this.settings = settings;
		this.events = events;
		this.endpoints = endpoints;
		this.metrics = metrics;
		this.random = random;
		this.placement = new PlacementSystem(this.table, events, random, settings.user().placementSettings());
		this.admission = new AdmissionSystem(this.table, events);
		this.retries = new RetryPolicy(events);
	}

	/**
	 * Returns the entry's own view of the endpoints.
	 * @return the view
	 */
	EndpointTable table() {
		return this.table;
	}

	/**
	 * Returns the attempts sent since the last call, for the heartbeats, and resets them.
	 * @return the number of attempts by endpoint
	 */
	Map<EndpointId, Integer> drainAttemptsSent() {
		Map<EndpointId, Integer> drained = Map.copyOf(this.attemptsSent);
		this.attemptsSent.clear();
		return drained;
	}

	void accept(Arrival arrival) {
		this.metrics.recordOffered(arrival);
		RequestState state = new RequestState(arrival, profile(arrival));
		this.requests.put(arrival.request(), state);
		if (!this.settings.limits()) {
			start(state);
			return;
		}
		double cost = arrival.promptTokens() + (double) OUTPUT_TOKEN_COST * arrival.outputTokens();
		applyDecision(this.admission.offer(new AdmissionRequest(arrival.request(), arrival.account(), arrival.service(),
				state.profile, this.events.instant(), cost, 1)));
	}

	void tick() {
		for (RequestState state : List.copyOf(this.unplaced)) {
			this.unplaced.remove(state);
			place(state);
		}
		this.admission.tick().forEach(this::applyDecision);
		for (EndpointDefinition definition : List.copyOf(this.restarting.values())) {
			this.table.put(definition, this.events.instant());
			this.restarting.remove(definition.id());
		}
	}

	void reclaimAnnounced(EndpointDefinition definition, Instant reclaimAt) {
		this.table.markLeaving(definition.id(), reclaimAt, this.events.instant());
		for (RequestState state : requestsAt(definition.id())) {
			if (Double.isNaN(state.attemptFirstTokenAt)) {
				move(state);
			}
		}
		double remaining = this.events.secondsOf(reclaimAt) - this.events.now();
		this.events.scheduleAfter(Math.max(0, remaining - MOVE_LEAD_SECONDS),
				() -> requestsAt(definition.id()).forEach(this::move));
	}

	void endpointLost(EndpointId endpoint) {
		this.table.markGone(endpoint, this.events.instant());
	}

	void endpointRestarted(EndpointDefinition definition) {
		this.table.remove(definition.id(), this.events.instant());
		this.restarting.put(definition.id(), definition);
	}

	private Profile profile(Arrival arrival) {
		UserModel user = this.settings.user();
		return (arrival.isModel() ? user.modelProfile(this.settings.policy())
				: user.orderProfile(this.settings.policy()));
	}

	private void applyDecision(AdmissionDecision decision) {
		RequestState state = this.requests.get(decision.request());
		if (state == null) {
			return;
		}
		switch (decision) {
			case AdmissionDecision.Admitted admitted -> start(state);
			case AdmissionDecision.Waiting waiting -> {
			}
			case AdmissionDecision.Refused refused -> refuse(state);
		}
	}

	private void start(RequestState state) {
		state.started = true;
		this.metrics.recordAdmitted(state.arrival);
		this.retries.firstAttempt(state.arrival.service(), state.profile);
		place(state);
	}

	private void place(RequestState state) {
		PlacementRequest request = state.placementRequest(this.events.at(state.arrival.at()));
		switch (this.placement.place(request)) {
			case PlacementDecision.Placed placed -> send(state, request, placed);
			case PlacementDecision.Refused refused -> placementRefused(state);
		}
	}

	private void placementRefused(RequestState state) {
		boolean late = this.events.now() > state.deadline();
		if (state.attempts == 0) {
			refuse(state);
		}
		else if (late) {
			fail(state);
		}
		else {
			this.unplaced.add(state);
		}
	}

	private void send(RequestState state, PlacementRequest request, PlacementDecision.Placed placed) {
		state.attempts++;
		state.endpoint = placed.endpoint();
		state.attemptFirstTokenAt = Double.NaN;
		this.table.attemptStarted(placed, request, this.events.instant());
		this.attemptsSent.merge(placed.endpoint(), 1, Integer::sum);
		SimulatedEndpoint endpoint = findEndpoint(placed.endpoint());
		Arrival arrival = state.arrival;
		Job job = new Job(arrival.request(), arrival.prefixes(), request.promptTokens(), request.outputTokens(),
				arrival.serviceSeconds(), new JobListener(state));
		state.job = job;
		if (this.random.nextDouble() < ATTEMPT_FAILURE_PROBABILITY) {
			this.events.scheduleAfter(0.05, () -> attemptFailed(state, job, AttemptOutcome.FAILED));
			return;
		}
		// Submits the job from the event queue, so that a refusal is not handled before
		// this decision is complete.
		this.events.scheduleAfter(0.001, () -> {
			if (state.job == job) {
				endpoint.submit(job);
			}
		});
	}

	private void attemptFailed(RequestState state, Job job, AttemptOutcome outcome) {
		if (state.job != job) {
			return;
		}
		EndpointId endpoint = state.endpoint();
		state.job = null;
		this.table.attemptEnded(endpoint, state.arrival.request(), outcome, this.events.instant());
		state.failedAt.add(endpoint);
		if (outcome == AttemptOutcome.LOST) {
			state.generated = 0;
		}
		boolean notExecuted = outcome == AttemptOutcome.REFUSED;
		RetryRequest request = new RetryRequest(state.arrival.service(), state.profile, state.arrival.isModel(),
				notExecuted, outcome == AttemptOutcome.LOST, state.failedAt, state.attempts,
				this.events.at(state.arrival.at()));
		switch (this.retries.decide(request)) {
			case RetryDecision.Retry retry -> {
				this.metrics.recordRetry(state.arrival);
				place(state);
			}
			case RetryDecision.GiveUp giveUp -> fail(state);
		}
	}

	private void move(RequestState state) {
		Job job = state.job;
		if (job == null) {
			return;
		}
		this.metrics.recordMove();
		state.generated += findEndpoint(state.endpoint()).cancel(job);
		state.job = null;
		this.table.attemptEnded(state.endpoint(), state.arrival.request(), AttemptOutcome.CANCELLED,
				this.events.instant());
		place(state);
	}

	private SimulatedEndpoint findEndpoint(EndpointId id) {
		return Objects.requireNonNull(this.endpoints.get(id), () -> "Unknown endpoint " + id);
	}

	private List<RequestState> requestsAt(EndpointId endpoint) {
		List<RequestState> found = new ArrayList<>();
		for (RequestState state : this.requests.values()) {
			if (state.job != null && endpoint.equals(state.endpoint)) {
				found.add(state);
			}
		}
		return found;
	}

	private void refuse(RequestState state) {
		this.metrics.recordRefused(state.arrival, this.events.now());
		end(state);
	}

	private void fail(RequestState state) {
		this.metrics.recordFailed(state.arrival);
		end(state);
	}

	private void end(RequestState state) {
		this.requests.remove(state.arrival.request());
		if (this.settings.limits() && state.started) {
			this.admission.released(state.arrival.service(), state.arrival.request()).forEach(this::applyDecision);
		}
	}

	private void countComputed(RequestState state, int computedTokens, int promptTokens) {
		// Recomputed tokens are those of prefixes that some engine has computed before,
		// and the entire prompt of a moved or retried attempt.
		int previouslyComputed = 0;
		for (PromptPrefix prefix : state.arrival.prefixes()) {
			if (this.metrics.recordComputedPrefix(prefix)) {
				previouslyComputed = prefix.tokens();
			}
		}
		if (state.promptComputed) {
			previouslyComputed = promptTokens;
		}
		int cached = promptTokens - computedTokens;
		this.metrics.recordRecomputed(Math.max(0, previouslyComputed - cached));
		state.promptComputed = true;
	}

	/**
	 * Handles the events of one attempt.
	 */
	private final class JobListener implements Job.Listener {

		private final RequestState state;

		JobListener(RequestState state) {
			this.state = state;
		}

		@Override
		public void firstToken(int computedTokens) {
			Job job = this.state.job;
			if (job == null) {
				return;
			}
			double now = SimulatedEntry.this.events.now();
			this.state.attemptFirstTokenAt = now;
			if (Double.isNaN(this.state.firstTokenAt)) {
				this.state.firstTokenAt = now;
			}
			SimulatedEntry.this.table.firstTokenReceived(this.state.endpoint(), job.request(),
					SimulatedEntry.this.events.instant());
			if (this.state.arrival.isModel()) {
				countComputed(this.state, computedTokens, job.promptTokens());
			}
		}

		@Override
		public void completed() {
			Job job = this.state.job;
			if (job == null) {
				return;
			}
			Instant now = SimulatedEntry.this.events.instant();
			EndpointId endpoint = this.state.endpoint();
			this.state.job = null;
			if (job.outputTokens() > 0) {
				SimulatedEntry.this.table.tokensReceived(endpoint, job.request(), job.outputTokens(), now);
			}
			SimulatedEntry.this.table.attemptEnded(endpoint, job.request(), AttemptOutcome.COMPLETED, now);
			SimulatedEntry.this.metrics.recordCompleted(this.state.arrival, this.state.profile, this.state.firstTokenAt,
					SimulatedEntry.this.events.now());
			end(this.state);
		}

		@Override
		public void refused() {
			attemptFailedWith(AttemptOutcome.REFUSED);
		}

		@Override
		public void failed() {
			attemptFailedWith(AttemptOutcome.FAILED);
		}

		@Override
		public void lost() {
			attemptFailedWith(AttemptOutcome.LOST);
		}

		private void attemptFailedWith(AttemptOutcome outcome) {
			Job job = this.state.job;
			if (job != null) {
				attemptFailed(this.state, job, outcome);
			}
		}

	}

	/**
	 * The state of an accepted request.
	 */
	private static final class RequestState {

		private final Arrival arrival;

		private final Profile profile;

		private final Set<EndpointId> failedAt = new HashSet<>();

		private @Nullable EndpointId endpoint;

		private @Nullable Job job;

		private boolean started;

		private boolean promptComputed;

		private int attempts;

		private int generated;

		private double firstTokenAt = Double.NaN;

		private double attemptFirstTokenAt = Double.NaN;

		RequestState(Arrival arrival, Profile profile) {
			this.arrival = arrival;
			this.profile = profile;
		}

		EndpointId endpoint() {
			return Objects.requireNonNull(this.endpoint, "endpoint must be set while an attempt is running");
		}

		double deadline() {
			return this.arrival.at() + this.profile.deadline().toMillis() / 1000.0;
		}

		PlacementRequest placementRequest(Instant acceptedAt) {
			int output = Math.max(0, this.arrival.outputTokens() - this.generated);
			return new PlacementRequest(this.arrival.request(), this.arrival.account(), this.arrival.service(),
					this.profile, this.arrival.prefixes(), this.arrival.promptTokens() + this.generated, output,
					this.failedAt, acceptedAt, Optional.empty());
		}

	}

}
