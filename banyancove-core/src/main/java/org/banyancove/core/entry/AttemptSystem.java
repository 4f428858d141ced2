package org.banyancove.core.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Invariant;
import org.banyancove.core.ServiceName;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.retry.RetryPolicy;
import org.banyancove.core.retry.RetryRequest;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.Endpoint;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.routing.PlacementRequest;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.routing.PromptPrefix;
import org.banyancove.core.suspect.SuspectDecision;
import org.banyancove.core.suspect.SuspectSystem;
import org.jspecify.annotations.Nullable;

/**
 * Places requests on endpoints, starts their attempts and records how they end.
 */
final class AttemptSystem {

	/**
	 * Applies until a request of the service has been sent, since its response times are
	 * unknown until then.
	 */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private final EndpointTable endpoints;

	private final PlacementSystem placement;

	private final SuspectSystem suspects;

	private final RetryPolicy retries;

	private final InstantSource clock;

	private final Consumer<EntryCommand> commands;

	private final EntryCounters counters;

	private final DataCenterName dataCenter;

	private final Map<ServiceName, Profile> profiles = new HashMap<>();

	private final Map<EndpointId, EndpointLoad> sentLoads = new HashMap<>();

	AttemptSystem(EndpointTable endpoints, PlacementSystem placement, SuspectSystem suspects, InstantSource clock,
			Consumer<EntryCommand> commands, EntryCounters counters, DataCenterName dataCenter) {
		this.endpoints = endpoints;
		this.placement = placement;
		this.suspects = suspects;
		this.retries = new RetryPolicy(clock);
		this.clock = clock;
		this.commands = commands;
		this.counters = counters;
		this.dataCenter = dataCenter;
	}

	// Selects the endpoint of a request's next attempt, without starting it.
	AttemptPlacement place(RequestEntity request) {
		return switch (this.suspects.decide(request.fingerprint)) {
			case SuspectDecision.NotSuspect _ -> place(request, Set.of());
			case SuspectDecision.RunIsolated isolated -> place(request, isolated.excluded());
			case SuspectDecision.Wait wait -> new AttemptPlacement.Deferred(wait.retryAfter());
			case SuspectDecision.Refused _ -> new AttemptPlacement.Blocked();
		};
	}

	// Starts an attempt. Ends the request's previous attempt if that is still
	// running.
	void start(RequestEntity request, EndpointId id, int attempt, AttemptRequest content) {
		Invariant.check(!request.excluded.contains(id),
				"request %s is sent again to endpoint %s, which failed it before", request.id(), id);
		Endpoint endpoint = this.endpoints.find(id).orElse(null);
		if (endpoint == null) {
			failAttempt(request, attempt, content);
			return;
		}
		endAttempt(request, request.outcome);
		request.sendCount++;
		if (request.attempt == 0) {
			this.retries.firstAttempt(request.service.name(), request.profile);
		}
		this.profiles.put(request.service.name(), request.profile);
		this.endpoints.attemptStarted(placedAt(request, id), placementRequest(request, Set.of()), this.clock.instant());
		this.suspects.attemptStarted(request.id(), request.fingerprint, id);
		recordSent(request, id);
		request.endpoint = id;
		sendAttempt(request, id, endpoint.definition().address(), attempt, content);
	}

	// Requests the remaining tokens of a stream from the engine that runs it over a
	// new connection.
	void reattach(RequestEntity request, EndpointId id, int attempt, long fromOffset) {
		String address = address(id);
		AttemptRequest content = new AttemptRequest.Reattach(fromOffset);
		if (address == null) {
			failAttempt(request, attempt, content);
			return;
		}
		request.endpoint = id;
		sendAttempt(request, id, address, attempt, content);
	}

	// Accounts for an attempt that another entry started as one of this entry.
	void adopt(RequestEntity request, EndpointId id) {
		if (this.endpoints.find(id).isPresent()) {
			this.endpoints.attemptStarted(placedAt(request, id), placementRequest(request, Set.of()),
					this.clock.instant());
			// A suspect request that was handed over with its stream is not sent
			// again, so its former owner was responsible for isolating it.
			if (this.suspects.decide(request.fingerprint) instanceof SuspectDecision.NotSuspect) {
				this.suspects.attemptStarted(request.id(), request.fingerprint, id);
			}
			request.endpoint = id;
		}
	}

	@Nullable String address(EndpointId id) {
		return this.endpoints.find(id).map((endpoint) -> endpoint.definition().address()).orElse(null);
	}

	// Returns and resets the load that was sent to each endpoint since the last
	// call, for the peers.
	List<EndpointLoad> drainSentLoads() {
		List<EndpointLoad> drained = new ArrayList<>(this.sentLoads.values());
		this.sentLoads.clear();
		return drained;
	}

	// Returns the retry delay for a caller whose request no endpoint could
	// complete.
	Duration retryAfterNoEndpoint(ServiceName service) {
		Profile profile = this.profiles.get(service);
		if (profile == null) {
			return DEFAULT_RETRY_AFTER;
		}
		return this.endpoints.retryAfterNoEndpoint(service, profile, this.clock.instant());
	}

	// Decides whether to retry a request whose attempt failed, under the retry
	// budget of its service. Requests of a lost endpoint are retried regardless of
	// the budget: they were accepted, and a service with few calls earns almost no
	// budget.
	RetryDecision retry(RequestEntity request, boolean provedNotRun) {
		return this.retries.decide(new RetryRequest(request.service.name(), request.profile, request.mayRepeat(),
				provedNotRun, request.outcome == AttemptOutcome.LOST, request.excluded, Math.max(1, request.sendCount),
				request.arrivedAt));
	}

	// Records the end of the current attempt, and excludes an endpoint that failed
	// the request from its further attempts.
	void endAttempt(RequestEntity request, AttemptOutcome outcome) {
		EndpointId endpoint = request.endpoint;
		if (endpoint == null) {
			return;
		}
		this.endpoints.attemptEnded(endpoint, request.id(), outcome, this.clock.instant());
		this.suspects.attemptEnded(request.id(), endpoint, outcome == AttemptOutcome.COMPLETED);
		if (outcome.isFailure()) {
			request.excluded.add(endpoint);
		}
		request.endpoint = null;
	}

	// Removes an unreachable endpoint from service. The requests that ran there
	// become suspects, since one of them may have crashed it.
	void markEndpointGone(RequestEntity request) {
		EndpointId id = request.endpoint;
		if (id == null) {
			return;
		}
		this.endpoints.find(id).map(Endpoint::definition).ifPresent(this::markGone);
	}

	// Closes the connection of the current attempt.
	void cancel(RequestEntity request) {
		EndpointId endpoint = request.endpoint;
		if (endpoint != null) {
			this.commands.accept(new EntryCommand.CancelAttempt(request.id(), request.attempt, endpoint));
		}
	}

	void firstTokenReceived(RequestEntity request) {
		EndpointId endpoint = request.endpoint;
		if (endpoint != null) {
			this.endpoints.firstTokenReceived(endpoint, request.id(), this.clock.instant());
		}
	}

	void tokensReceived(RequestEntity request, int count) {
		EndpointId endpoint = request.endpoint;
		if (endpoint != null) {
			this.endpoints.tokensReceived(endpoint, request.id(), count, this.clock.instant());
		}
	}

	private AttemptPlacement place(RequestEntity request, Set<EndpointId> isolatedFrom) {
		return switch (this.placement.place(placementRequest(request, isolatedFrom))) {
			case PlacementDecision.Placed placed -> {
				request.placed = placed;
				yield new AttemptPlacement.Ready(placed);
			}
			case PlacementDecision.Refused refused ->
				new AttemptPlacement.Refused(refused.kind(), refused.retryAfter());
		};
	}

	private void markGone(EndpointDefinition endpoint) {
		this.suspects.endpointLost(endpoint.id(), endpoint.vm(), endpoint.zone());
		this.endpoints.markGone(endpoint.id(), this.clock.instant());
	}

	private void sendAttempt(RequestEntity request, EndpointId endpoint, String address, int attempt,
			AttemptRequest content) {
		request.attempt = attempt;
		request.attemptRequest = content;
		request.phase = RequestPhase.RUNNING;
		this.counters.countAttempt(attempt);
		this.commands.accept(new EntryCommand.StartAttempt(request.id(), attempt, endpoint, address, content));
	}

	// Fails an attempt at an endpoint that has been removed as one that could not
	// connect. It does so by a command to this entry, since the current step of the
	// stream is not complete yet.
	private void failAttempt(RequestEntity request, int attempt, AttemptRequest content) {
		request.attempt = attempt;
		request.attemptRequest = content;
		this.commands.accept(new EntryCommand.FailAttempt(request.id(), attempt));
	}

	private PlacementDecision.Placed placedAt(RequestEntity request, EndpointId id) {
		PlacementDecision.Placed placed = request.placed;
		if (placed != null && placed.endpoint().equals(id)) {
			return placed;
		}
		Prompt prompt = request.call.prompt();
		return new PlacementDecision.Placed(id, Duration.ZERO, Duration.ZERO, (prompt != null) ? prompt.tokens() : 0);
	}

	private void recordSent(RequestEntity request, EndpointId id) {
		Prompt prompt = request.call.prompt();
		long tokens = (prompt != null) ? prompt.tokens() + prompt.maximumTokens() : 1;
		this.sentLoads.merge(id, new EndpointLoad(id, 1, tokens), (first, second) -> new EndpointLoad(id,
				first.requests() + second.requests(), first.tokens() + second.tokens()));
	}

	private PlacementRequest placementRequest(RequestEntity request, Set<EndpointId> isolatedFrom) {
		Call call = request.call;
		Prompt prompt = call.prompt();
		List<PromptPrefix> prefixes = (prompt != null) ? prompt.prefixes() : List.of();
		int promptTokens = (prompt != null) ? prompt.tokens() : 0;
		int outputTokens = (prompt != null) ? prompt.maximumTokens() : 0;
		Set<EndpointId> excluded = new HashSet<>(request.excluded);
		excluded.addAll(isolatedFrom);
		return new PlacementRequest(request.id(), call.account(), call.service(), request.profile, prefixes,
				promptTokens, outputTokens, excluded, request.arrivedAt, Optional.of(this.dataCenter));
	}

}
