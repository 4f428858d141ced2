package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.configuration.CallerLimits;
import org.banyancove.gateway.configuration.ClientAccount;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.configuration.WeightedService;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.shared.CallerHeaders;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestRouterTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final Configuration CONFIGURATION = new Configuration(1,
			List.of(route("/plain/", RouteKind.NON_IDEMPOTENT, false), route("/open/", RouteKind.IDEMPOTENT, true),
					route("/stream/", RouteKind.STREAMING, false)),
			List.of(new Service(new ServiceName("service"), 10, null, null)),
			List.of(new ClientAccount(new AccountName("account"), List.of("key"), null, null)), CallerLimits.DEFAULT);

	private static Route route(String prefix, RouteKind kind, boolean anonymous) {
		return new Route(prefix, "host", prefix, kind, false, TIMEOUT, Duration.ofSeconds(1), Duration.ofSeconds(1), 0,
				List.of(new WeightedService(new ServiceName("service"), 1)), 1, anonymous);
	}

	@Test
	void acceptsConfiguredRoutes() {
		assertThat(decide(CONFIGURATION, null, "/plain/x?y", "key")).isInstanceOf(RoutingDecision.Accepted.class);
		assertThat(decide(CONFIGURATION, null, "/open/", null)).isInstanceOf(RoutingDecision.Accepted.class);
	}

	@Test
	void rejectsUnknownRoutesAndKeys() {
		assertThat(rejectionKind(CONFIGURATION, null, "/other/", "key")).isEqualTo(ErrorKind.SERVICE_UNKNOWN);
		assertThat(rejectionKind(CONFIGURATION, null, "/plain/", "old")).isEqualTo(ErrorKind.ACCOUNT_UNKNOWN);
		assertThat(rejectionKind(CONFIGURATION, null, "/plain/", null)).isEqualTo(ErrorKind.ACCOUNT_UNKNOWN);
	}

	// Guards against permanent errors during startup: a process without a configuration
	// must not report a route or key as unknown, since callers do not retry such errors.
	@Test
	void missingConfigurationIsReportedAsPlatformUnreachable() {
		assertThat(rejectionKind(null, null, "/plain/", "key")).isEqualTo(ErrorKind.PLATFORM_UNREACHABLE);
	}

	// Guards against requests that are interrupted by the end of the process: a caller
	// keeps its connection open throughout the shutdown and sends a request just before
	// its end. The request is rejected without running, so that the caller can retry
	// elsewhere.
	@ParameterizedTest
	@ValueSource(strings = { "/plain/", "/open/", "/stream/" })
	void shutdownRejectsRequestsThatCouldBeInterrupted(String uri) {
		assertThat(decide(CONFIGURATION, TIMEOUT, uri, "key")).isInstanceOf(RoutingDecision.Accepted.class);
		assertThat(rejectionKind(CONFIGURATION, TIMEOUT.minusNanos(1), uri, "key")).isEqualTo(ErrorKind.STOPPING);
		assertThat(rejectionKind(CONFIGURATION, Duration.ofSeconds(-1), uri, "key")).isEqualTo(ErrorKind.STOPPING);
	}

	// Guards against rejections of requests whose callers don't wait for the timeout.
	@Test
	void shutdownAcceptsRequestsThatEndInTimeByTheirDeadline() {
		Duration deadline = Duration.ofMillis(300);
		assertThat(decide(deadline, deadline)).isInstanceOf(RoutingDecision.Accepted.class);
		assertThat(decide(deadline.minusNanos(1), deadline)).isInstanceOf(RoutingDecision.Rejected.class);
		assertThat(decide(TIMEOUT, TIMEOUT.multipliedBy(2))).isInstanceOf(RoutingDecision.Accepted.class);
	}

	private static RoutingDecision decide(Duration availableTime, Duration deadline) {
		return new RequestRouter(CONFIGURATION, availableTime).decide("host", "/plain/",
				new CallerHeaders("1", deadline, "key", null, null, Prompt.NONE), 0);
	}

	// Guards against a stream that goes on at a service that did not begin it, or that no
	// configuration allows any more.
	@Test
	void resumedStreamIsRoutedToTheServiceThatBeganIt() {
		assertThat(decideResumption("service")).isInstanceOf(RoutingDecision.Accepted.class);
		assertThat(decideResumption("former"))
			.isEqualTo(new RoutingDecision.Rejected(ErrorKind.STREAM_VERSION_UNAVAILABLE, Duration.ofMillis(300)));
	}

	private static RoutingDecision decideResumption(String origin) {
		return new RequestRouter(CONFIGURATION, null).decideResumption("host", "/stream/x",
				new CallerHeaders("1", null, "key", "1", "0", Prompt.NONE), new ServiceName(origin));
	}

	private static ErrorKind rejectionKind(@Nullable Configuration configuration, @Nullable Duration availableTime,
			String uri, @Nullable String key) {
		return ((RoutingDecision.Rejected) decide(configuration, availableTime, uri, key)).kind();
	}

	private static RoutingDecision decide(@Nullable Configuration configuration, @Nullable Duration availableTime,
			String uri, @Nullable String key) {
		return new RequestRouter(configuration, availableTime).decide("host", uri,
				new CallerHeaders("1", null, key, null, null, Prompt.NONE), 0);
	}

}
