package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.EngineMemory;
import org.banyancove.gateway.configuration.Service;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointTableTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final EndpointId ID = new EndpointId("e");

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private final EndpointTable table = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	@BeforeEach
	void configure() {
		this.table.configure(new Configuration(1, List.of(), List.of(new Service(SERVICE, 10, null, null)), List.of(),
				CallerLimits.DEFAULT));
		this.table.put(entry(false));
	}

	@Test
	void aDrainingEndpointReceivesNoRequests() {
		PlacementRule placement = new PlacementRule(new DataCenterName("a"), () -> 0);
		assertThat(placement.choose(this.table.endpointsOf(SERVICE), Prompt.NONE, Set.of(), 0)).isNotNull();
		this.table.put(entry(true));
		assertThat(placement.choose(this.table.endpointsOf(SERVICE), Prompt.NONE, Set.of(), 0)).isNull();
	}

	@Test
	void anUnlistedEndpointIsRemovedImmediately() {
		this.table.unlisted(ID, null, 0);
		assertThat(this.table.all()).isEmpty();
	}

	// Guards against dropping a live endpoint whose entry expired during an outage of the
	// store. The store recovered a second ago, and the endpoint registers again while it
	// keeps serving requests.
	@Test
	void anEndpointUnlistedByAnOutageIsKeptUntilItIsListedAgain() {
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.endpointsOf(SERVICE)).hasSize(1);
		this.table.put(entry(false));
		assertThat(this.table.removeExpired(5000 * MILLISECOND)).isEmpty();
	}

	@Test
	void anUnlistedEndpointIsRemovedAfterTheGracePeriod() {
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.removeExpired(1000 * MILLISECOND)).containsExactly(ID);
		assertThat(this.table.endpointsOf(SERVICE)).isEmpty();
	}

	// Guards against keeping an endpoint that was removed: the store recovered three
	// seconds ago, so that live endpoints are listed again, and a request sent to an
	// endpoint that is unlisted now would fail.
	@Test
	void anEndpointUnlistedLongAfterAnOutageIsRemovedImmediately() {
		this.table.unlisted(ID, Duration.ofSeconds(3), 0);
		assertThat(this.table.endpointsOf(SERVICE)).isEmpty();
	}

	@Test
	void aDrainingEndpointIsRemovedImmediatelyAfterAnOutage() {
		this.table.put(entry(true));
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.all()).isEmpty();
	}

	// Guards against requests to an endpoint that asked for a pause, because its entry
	// expired during an outage of the store and was listed again.
	@Test
	void anEndpointThatIsListedAgainKeepsThePauseItAskedFor() {
		endpoint().pause().request(Duration.ofSeconds(10), 0);
		this.table.unlisted(ID, null, 1000 * MILLISECOND);
		this.table.put(entry(false));
		assertThat(endpoint().pause().remaining(2000 * MILLISECOND)).isEqualTo(Duration.ofSeconds(8));
	}

	// Guards against requests to an endpoint that announced its shutdown in an answer
	// only, and whose entry is removed and listed again.
	@Test
	void anEndpointThatAnnouncedItsShutdownStaysDrainingWhenItIsListedAgain() {
		endpoint().recordShutdownAnnouncement();
		this.table.put(entry(false));
		assertThat(endpoint().draining()).isTrue();
		this.table.unlisted(ID, null, 0);
		this.table.put(entry(false));
		assertThat(endpoint().draining()).isTrue();
		PlacementRule placement = new PlacementRule(new DataCenterName("a"), () -> 0);
		assertThat(placement.choose(this.table.endpointsOf(SERVICE), Prompt.NONE, Set.of(), 0)).isNull();
	}

	// Guards against a time of leaving that moves with each repetition of the entry, and
	// against lists that are computed anew for it.
	@Test
	void theTimeOfLeavingIsThatOfTheFirstDrainingEntry() {
		this.table.put(leaving(2_000));
		List<Endpoint> listed = this.table.endpointsOf(SERVICE);
		this.table.put(leaving(2_003));
		assertThat(endpoint().entry().leavesAt()).isEqualTo(2_000);
		assertThat(this.table.endpointsOf(SERVICE)).isSameAs(listed);
		this.table.put(entry(true));
		assertThat(endpoint().entry().leavesAt()).isEqualTo(2_000);
		this.table.put(entry(false));
		assertThat(endpoint().entry().leavesAt()).isNull();
	}

	// Guards against an endpoint that stays unused because a process that was replaced
	// asked for a pause or announced its shutdown.
	@Test
	void aNewIncarnationOfAnEndpointIsNeitherPausedNorDraining() {
		endpoint().pause().request(Duration.ofSeconds(10), 0);
		endpoint().recordShutdownAnnouncement();
		this.table.put(new EndpointEntry(ID, SERVICE, "v1", endpoint().entry().address(), new DataCenterName("a"), 10,
				false, false, 2));
		assertThat(endpoint().pause().remaining(0)).isZero();
		assertThat(endpoint().draining()).isFalse();
	}

	// Guards against memory that grows with the endpoints that were removed.
	@Test
	void aRemovedEndpointIsForgotten() {
		endpoint().pause().request(Duration.ofHours(1), 0);
		this.table.unlisted(ID, null, 0);
		this.table.removeExpired(Duration.ofMinutes(6).toNanos());
		this.table.put(entry(false));
		assertThat(endpoint().pause().remaining(0)).isZero();
	}

	// Guards against treating an engine as a plain service, which would place prompts
	// regardless of its queue, when a starting process reads the list of endpoints before
	// the configuration.
	@Test
	void theConfigurationAppliesToEndpointsListedBeforeIt() {
		EndpointTable early = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));
		early.put(entry(false));
		Endpoint endpoint = early.endpointsOf(SERVICE).getFirst();
		Prompt prompt = new Prompt(List.of(), 10_000, 100);
		double asPlain = endpoint.serviceTimeMillis(prompt.inputTokens());
		early.configure(new Configuration(1, List.of(),
				List.of(new Service(SERVICE, 10, new EngineMemory(600_000, 0.001), null)), List.of(),
				CallerLimits.DEFAULT));
		assertThat(endpoint.serviceTimeMillis(prompt.inputTokens())).isGreaterThan(asPlain);
		assertThat(endpoint.serviceTimeMillis(20_000)).isEqualTo(2 * endpoint.serviceTimeMillis(prompt.inputTokens()));
	}

	private Endpoint endpoint() {
		return Objects.requireNonNull(this.table.get(ID));
	}

	private static EndpointEntry leaving(long leavesAt) {
		EndpointEntry draining = entry(true);
		return new EndpointEntry(ID, SERVICE, "v1", draining.address(), draining.dataCenter(), 10, true, false, 1,
				leavesAt);
	}

	private static EndpointEntry entry(boolean draining) {
		return new EndpointEntry(ID, SERVICE, "v1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
				new DataCenterName("a"), 10, draining, false, 1);
	}

}
