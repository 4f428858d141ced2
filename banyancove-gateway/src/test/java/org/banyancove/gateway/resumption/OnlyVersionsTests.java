package org.banyancove.gateway.resumption;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OnlyVersionsTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final ServiceName OTHER = new ServiceName("others");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final Route ROUTE = route(SERVICE);

	private boolean endpointsRecent = true;

	private final OnlyVersions versions = new OnlyVersions(() -> this.endpointsRecent);

	@Test
	void onlyVersionIsKnownOnceNoCallerCanReturnFromBefore() {
		record(0, "v1");
		assertThat(this.versions.originOf(ROUTE, 5 * SECOND)).isNull();
		assertThat(this.versions.originOf(ROUTE, 7 * SECOND)).isNotNull()
			.extracting((known) -> known.origin().version())
			.isEqualTo("v1");
	}

	// Guards against a stream that goes on at the wrong version because a second one was
	// listed for a moment, took the place of the first, or is stated by no entry.
	@Test
	void anotherVersionEndsTheCertaintyForAsLongAsCallersMayReturn() {
		record(0, "v1");
		this.versions.recordVersions(SERVICE, Set.of("v1", "v2"), 10 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 10 * SECOND)).isNull();
		this.versions.recordVersions(SERVICE, Set.of("v1"), 11 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 16 * SECOND)).isNull();
		assertThat(this.versions.originOf(ROUTE, 18 * SECOND)).isNotNull();
		this.versions.recordVersions(SERVICE, Set.of("v2"), 20 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 25 * SECOND)).isNull();
		this.versions.recordVersions(SERVICE, Set.of(""), 30 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 90 * SECOND)).isNull();
	}

	@Test
	void lossOfAllEndpointsIsNoOtherVersion() {
		record(0, "v1");
		this.versions.recordVersions(SERVICE, Set.of(), 10 * SECOND);
		this.versions.recordVersions(SERVICE, Set.of("v1"), 12 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 12 * SECOND)).isNotNull();
	}

	// Guards against a stream that goes on at the wrong version because the gateway
	// cannot
	// read the list of endpoints.
	@Test
	void nothingIsCertainWhileTheEndpointsAreOld() {
		record(0, "v1");
		this.endpointsRecent = false;
		assertThat(this.versions.originOf(ROUTE, 10 * SECOND)).isNull();
	}

	// Guards against a stream that goes on at another service, which its route has been
	// moved to or shares its requests with.
	@Test
	void changedOrSeveralServicesOfARouteEndTheCertainty() {
		record(0, "v1");
		this.versions.recordVersions(OTHER, Set.of("v1"), 0);
		this.versions.recordRoutes(List.of(route(OTHER)), 10 * SECOND);
		assertThat(this.versions.originOf(route(OTHER), 15 * SECOND)).isNull();
		assertThat(this.versions.originOf(ROUTE, 20 * SECOND)).isNull();
		assertThat(this.versions.originOf(route(OTHER), 20 * SECOND)).isNotNull();
		Route shared = route(SERVICE, OTHER);
		this.versions.recordRoutes(List.of(shared), 30 * SECOND);
		assertThat(this.versions.originOf(shared, 90 * SECOND)).isNull();
	}

	private void record(long now, String version) {
		this.versions.recordRoutes(List.of(ROUTE), now);
		this.versions.recordVersions(SERVICE, Set.of(version), now);
	}

	private static Route route(ServiceName... services) {
		return new Route("route", "host", "/", RouteKind.STREAMING, true, Duration.ofSeconds(3), Duration.ofSeconds(1),
				Duration.ofSeconds(1), 0,
				List.of(services).stream().map((name) -> new WeightedService(name, 1)).toList(), 2, true);
	}

}
