package org.banyancove.core.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.RequestTerms;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.suspect.SuspectSystem;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AttemptSystem}.
 */
class AttemptSystemTests {

	private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

	private static final InstantSource CLOCK = InstantSource.fixed(NOW);

	private static final DataCenterName DATA_CENTER = new DataCenterName("mahebourg");

	private static final Profile PROFILE = new Profile(new ProfileName("dawn"), Duration.ofSeconds(2),
			Duration.ofMillis(41), Duration.ofMinutes(20), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.2, 0.5, false,
			1 << 20);

	private static final ServiceDefinition SERVICE = new ServiceDefinition(new ServiceName("feed-planning"),
			ServiceKind.MODEL, PROFILE.name(), ServiceState.ACTIVE, Set.of(), false);

	private final EndpointTable endpoints = new EndpointTable();

	private final SuspectSystem suspects = new SuspectSystem(CLOCK, Duration.ZERO);

	private final List<EntryCommand> commands = new ArrayList<>();

	private final AttemptSystem attempts = new AttemptSystem(this.endpoints,
			new PlacementSystem(this.endpoints, CLOCK, new Random(1)), this.suspects, CLOCK, this.commands::add,
			new EntryCounters(), DATA_CENTER);

	// Guards against accepted requests that fail once the retry budget is spent.
	// With few requests the service has earned almost no retries when an engine's
	// process ends without notice. All its requests were accepted, so each is
	// retried; the retries add no load, since that of the lost engine is gone.
	@Test
	void requestsOfLostEngineAreRetriedBeyondBudget() {
		for (int number = 0; number < 50; number++) {
			RequestEntity request = started("plan-" + number, "engine-1");
			this.attempts.endAttempt(request, AttemptOutcome.LOST);
			request.outcome = AttemptOutcome.LOST;
			assertThat(this.attempts.retry(request, false)).as(request.id().value())
				.isInstanceOf(RetryDecision.Retry.class);
		}
	}

	// Guards against reattaches that use up the retries of a request. A stream's
	// connection fails, and the entry reattaches to the stream before it detects
	// that the engine is lost; this happens at two engines. Only requests sent to
	// be run count as attempts, so a third engine may still be tried.
	@Test
	void reattachIsNotCountedAsAttempt() {
		RequestEntity request = started("plan", "engine-1");
		this.attempts.reattach(request, new EndpointId("engine-1"), 2, 0);
		this.attempts.endAttempt(request, AttemptOutcome.LOST);
		start(request, "engine-2", 3);
		this.attempts.reattach(request, new EndpointId("engine-2"), 4, 0);
		this.attempts.endAttempt(request, AttemptOutcome.LOST);
		request.outcome = AttemptOutcome.LOST;
		assertThat(this.attempts.retry(request, false)).isInstanceOf(RetryDecision.Retry.class);
		start(request, "engine-3", 5);
		this.attempts.endAttempt(request, AttemptOutcome.LOST);
		assertThat(this.attempts.retry(request, false)).isInstanceOf(RetryDecision.GiveUp.class);
	}

	private RequestEntity started(String id, String engine) {
		Call call = new Call(new RequestId(id), new AccountName("north-pens"), SERVICE.name(), "POST",
				"/v1/chat/completions", "application/json", Body.copyOf(id.getBytes(StandardCharsets.UTF_8)), null,
				new Prompt(10, List.of(), 100));
		RequestEntity request = new RequestEntity(call, new RequestTerms(1, SERVICE, 0, PROFILE), NOW,
				NOW.plus(PROFILE.deadline()));
		start(request, engine, 1);
		return request;
	}

	private void start(RequestEntity request, String engine, int attempt) {
		EndpointId id = new EndpointId(engine);
		this.endpoints.put(new EndpointDefinition(id, new VmId("vm-" + engine), DATA_CENTER, new ZoneName("a"),
				new MachineClass("gpu"), SERVICE.name(), "127.0.0.1:1", 1), NOW);
		this.attempts.start(request, id, attempt,
				new AttemptRequest.Generate(request.call.body(), request.profile.priority()));
	}

}
