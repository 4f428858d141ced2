package org.banyancove.gateway.resumption;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.WeightedService;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OnlyVersionsTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final ServiceName OTHER = new ServiceName("others");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final Route ROUTE = route(SERVICE);

	private final StubVersions listed = new StubVersions();

	private final OnlyVersions versions = new OnlyVersions(this.listed, Duration.ofSeconds(2));

	@Test
	void onlyVersionIsKnownOnceNoCallerCanReturnFromBefore() {
		record(0, "v1");
		assertThat(originOf(ROUTE, 5 * SECOND)).isNull();
		assertThat(originOf(ROUTE, 7 * SECOND)).isNotNull()
			.extracting((known) -> known.origin().version())
			.isEqualTo("v1");
	}

	// Guards against a stream that goes on at the wrong version because a second one was
	// listed for a moment, took the place of the first, or is stated by no entry.
	@Test
	void anotherVersionEndsTheCertaintyForAsLongAsCallersMayReturn() {
		record(0, "v1");
		list(10 * SECOND, SERVICE, "v1", "v2");
		assertThat(originOf(ROUTE, 10 * SECOND)).isNull();
		list(11 * SECOND, SERVICE, "v1");
		assertThat(originOf(ROUTE, 16 * SECOND)).isNull();
		assertThat(originOf(ROUTE, 18 * SECOND)).isNotNull();
		list(20 * SECOND, SERVICE, "v2");
		assertThat(originOf(ROUTE, 25 * SECOND)).isNull();
		list(30 * SECOND, SERVICE, "");
		assertThat(originOf(ROUTE, 90 * SECOND)).isNull();
	}

	@Test
	void lossOfAllEndpointsIsNoOtherVersion() {
		record(0, "v1");
		list(10 * SECOND, SERVICE);
		list(12 * SECOND, SERVICE, "v1");
		assertThat(originOf(ROUTE, 12 * SECOND)).isNotNull();
	}

	// Guards against a stream that goes on at the wrong version because the gateway
	// cannot
	// read the list of endpoints.
	@Test
	void nothingIsCertainWhileTheEndpointsAreOld() {
		record(0, "v1");
		confirmUntil(10 * SECOND);
		assertThat(this.versions.originOf(ROUTE, 12 * SECOND)).isNotNull();
		assertThat(this.versions.originOf(ROUTE, 12 * SECOND + 1)).isNull();
	}

	// Guards against a stream that goes on at another service, which its route has been
	// moved to or shares its requests with.
	@Test
	void changedOrSeveralServicesOfARouteEndTheCertainty() {
		record(0, "v1");
		list(0, OTHER, "v1");
		this.versions.recordRoutes(List.of(route(OTHER)), 10 * SECOND);
		assertThat(originOf(route(OTHER), 15 * SECOND)).isNull();
		assertThat(originOf(ROUTE, 20 * SECOND)).isNull();
		assertThat(originOf(route(OTHER), 20 * SECOND)).isNotNull();
		Route shared = route(SERVICE, OTHER);
		this.versions.recordRoutes(List.of(shared), 30 * SECOND);
		assertThat(originOf(shared, 90 * SECOND)).isNull();
	}

	// Guards against a stream that goes on at the wrong version because the second one
	// joined and left while the store could not be read.
	@Test
	void nothingIsCertainAfterAGapInWhichAnotherVersionMayHaveServed() {
		record(0, "v1");
		confirmUntil(10 * SECOND);
		confirm(13 * SECOND);
		assertThat(originOf(ROUTE, 14 * SECOND)).isNull();
		assertThat(originOf(ROUTE, 20 * SECOND)).isNotNull();
	}

	// Guards against a stream that goes on at the wrong version because the second one
	// was
	// listed after the versions were last recorded.
	@Test
	void versionThatIsListedButNotRecordedYetEndsTheCertainty() {
		record(0, "v1");
		confirmUntil(10 * SECOND);
		this.listed.versions.put(SERVICE, Set.of("v1", "v2"));
		assertThat(originOf(ROUTE, 10 * SECOND)).isNull();
	}

	private @Nullable KnownOrigin originOf(Route route, long now) {
		confirmUntil(now);
		return this.versions.originOf(route, now);
	}

	private void record(long now, String version) {
		this.versions.recordRoutes(List.of(ROUTE), now);
		list(now, SERVICE, version);
	}

	private void list(long now, ServiceName service, String... versions) {
		confirmUntil(now);
		this.listed.versions.put(service, Set.of(versions));
		confirm(now);
	}

	private void confirmUntil(long end) {
		while (this.listed.confirmedAt < end) {
			confirm(Math.min(end, this.listed.confirmedAt + SECOND));
		}
	}

	private void confirm(long now) {
		this.listed.confirmedAt = now;
		this.versions.recordVersions(List.of(SERVICE, OTHER), now);
	}

	private static Route route(ServiceName... services) {
		return new Route("route", "host", "/", RouteKind.STREAMING, true, Duration.ofSeconds(3), Duration.ofSeconds(1),
				Duration.ofSeconds(1), 0,
				List.of(services).stream().map((name) -> new WeightedService(name, 1)).toList(), 2, true);
	}

	/**
	 * A list that is confirmed when a test says so.
	 */
	private static final class StubVersions implements ListedVersions {

		private final Map<ServiceName, Set<String>> versions = new HashMap<>();

		private long confirmedAt;

		@Override
		public Set<String> of(ServiceName service) {
			return this.versions.getOrDefault(service, Set.of());
		}

		@Override
		public Long confirmedAt() {
			return this.confirmedAt;
		}

		@Override
		public boolean confirmedSince(long time) {
			return this.confirmedAt >= time;
		}

	}

}
