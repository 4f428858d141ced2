package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
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

	private final EndpointTable table = new EndpointTable(new RateLimitAllotment("gateway", () -> List.of("gateway")));

	@BeforeEach
	void configure() {
		this.table.configure(new Configuration(1, List.of(), List.of(new Service(SERVICE, 10, null, null)), List.of(),
				CallerLimits.DEFAULT));
		this.table.put(entry(false));
	}

	@Test
	void anEndpointThatIsLeavingTakesNothing() {
		PlacementRule placement = new PlacementRule(new DataCenterName("a"));
		assertThat(placement.choose(this.table.listed(SERVICE), Prompt.NONE, Set.of(), 0)).isNotNull();
		this.table.put(entry(true));
		assertThat(placement.choose(this.table.listed(SERVICE), Prompt.NONE, Set.of(), 0)).isNull();
	}

	@Test
	void anEndpointThatIsNoLongerListedIsTakenOutAtOnce() {
		this.table.unlisted(ID, null, 0);
		assertThat(this.table.all()).isEmpty();
	}

	// The store was away until a second ago, and entries lapsed meanwhile. The endpoint
	// lives and writes itself in again; callers are served by it all the while.
	@Test
	void anEndpointWhoseEntryLapsedInAnOutageIsKeptUntilItIsBack() {
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.listed(SERVICE)).hasSize(1);
		this.table.put(entry(false));
		assertThat(this.table.expire(5000 * MILLISECOND)).isEmpty();
	}

	@Test
	void oneThatDoesNotComeBackIsGone() {
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.expire(1000 * MILLISECOND)).containsExactly(ID);
		assertThat(this.table.listed(SERVICE)).isEmpty();
	}

	// The store has been back for three seconds, so what lapsed in its absence is listed
	// again. An endpoint that leaves now has left; a request sent to it would find
	// nobody.
	@Test
	void anEndpointThatLeavesLongAfterAnOutageIsNotTakenForALapse() {
		this.table.unlisted(ID, Duration.ofSeconds(3), 0);
		assertThat(this.table.listed(SERVICE)).isEmpty();
	}

	@Test
	void anEndpointThatWasLeavingIsNotTakenForALapse() {
		this.table.put(entry(true));
		this.table.unlisted(ID, Duration.ofSeconds(1), 0);
		assertThat(this.table.all()).isEmpty();
	}

	// A process starts, and the list of endpoints is read before the configuration. Taken
	// for a plain service, an engine would get prompts regardless of what waits there.
	@Test
	void anEndpointThatIsListedBeforeTheConfigurationIsReadCountsAsWhatItIs() {
		EndpointTable early = new EndpointTable(new RateLimitAllotment("gateway", () -> List.of("gateway")));
		early.put(entry(false));
		Endpoint endpoint = early.listed(SERVICE).getFirst();
		Prompt prompt = new Prompt(List.of(), 10_000, 100);
		double asPlain = endpoint.workMillis(prompt.tokensIn());
		early.configure(new Configuration(1, List.of(),
				List.of(new Service(SERVICE, 10, new EngineMemory(600_000, 0.001), null)), List.of(),
				CallerLimits.DEFAULT));
		assertThat(endpoint.workMillis(prompt.tokensIn())).isGreaterThan(asPlain);
		assertThat(endpoint.workMillis(20_000)).isEqualTo(2 * endpoint.workMillis(prompt.tokensIn()));
	}

	private static EndpointEntry entry(boolean draining) {
		return new EndpointEntry(ID, SERVICE, "v1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
				new DataCenterName("a"), 10, draining, false, 1);
	}

}
