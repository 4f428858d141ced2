package org.banyancove.gateway.tunnel;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.banyancove.core.ServiceName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DirectPathsTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final ServiceName OTHER = new ServiceName("other");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final DirectPaths paths = new DirectPaths(new SplittableRandom(1));

	// Guards against tunnels for each endpoint that ends.
	@Test
	void oneUnreachableEndpointOfSeveralIsNoPartition() {
		fail(0, SERVICE, 0);
		fail(0, SERVICE, 1);
		fail(1, OTHER, 2);
		assertThat(this.paths.partitionSuspected(context(SERVICE, 6), 3)).isFalse();
		assertThat(this.paths.partitionSuspected(context(SERVICE, 1), 3)).isTrue();
		fail(2, SERVICE, 3);
		assertThat(this.paths.partitionSuspected(context(SERVICE, 6), 4)).isTrue();
		assertThat(this.paths.partitionSuspected(context(OTHER, 6), 4)).isFalse();
	}

	@Test
	void failuresAreForgottenAfterAWhileOrASuccess() {
		fail(0, SERVICE, 0);
		fail(1, SERVICE, 0);
		assertThat(this.paths.partitionSuspected(context(SERVICE, 6), 10 * SECOND)).isTrue();
		assertThat(this.paths.partitionSuspected(context(SERVICE, 6), 10 * SECOND + 1)).isFalse();
		fail(0, SERVICE, 20 * SECOND);
		fail(1, SERVICE, 20 * SECOND);
		this.paths.recordSuccess(address(1), 21 * SECOND);
		assertThat(this.paths.partitionSuspected(context(SERVICE, 6), 21 * SECOND)).isFalse();
	}

	// Guards against memory that grows with the addresses that endpoints have had.
	@Test
	void theNumberOfFailuresIsBounded() {
		IntStream.range(0, 5000).forEach((number) -> fail(number, SERVICE, number));
		assertThat(IntStream.range(0, 5000).filter((number) -> this.paths.failedRecently(address(number), 5000)))
			.hasSize(1024);
	}

	// Guards against a request that waits for one unreachable endpoint after the other.
	@Test
	void unreachableEndpointsAreTriedAgainOneAfterTheOther() {
		fail(0, SERVICE, 0);
		fail(1, SERVICE, 0);
		assertThat(this.paths.claimRetry(address(0), SECOND / 2)).isFalse();
		assertThat(this.paths.claimRetry(address(0), 2 * SECOND)).isTrue();
		assertThat(this.paths.claimRetry(address(1), 2 * SECOND)).isFalse();
		assertThat(this.paths.claimRetry(address(1), 2 * SECOND + SECOND / 4)).isTrue();
	}

	// Guards against gateways that go on using tunnels after a partition has ended.
	@Test
	void aSuccessMakesTheOthersDue() {
		fail(0, SERVICE, 0);
		fail(1, SERVICE, 0);
		this.paths.recordSuccess(address(0), SECOND / 10);
		assertThat(this.paths.claimRetry(address(1), SECOND / 10)).isTrue();
	}

	// Guards against the loss of idle connections that still work when new ones are
	// refused.
	@Test
	void onlyTimeoutsMakeIdleConnectionsSuspect() {
		this.paths.recordFailure(address(0), SERVICE, false, 1);
		this.paths.recordFailure(address(1), SERVICE, false, 2);
		assertThat(this.paths.silentSince(context(SERVICE, 6), 3)).isNull();
		fail(0, SERVICE, 4);
		fail(1, SERVICE, 5);
		assertThat(this.paths.silentSince(context(SERVICE, 6), 6)).isNotNull();
	}

	private void fail(int number, ServiceName service, long now) {
		this.paths.recordFailure(address(number), service, true, now);
	}

	private static InetSocketAddress address(int number) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + number);
	}

	private static ConnectContext context(ServiceName service, int alternatives) {
		return new ConnectContext(service, alternatives, "request", new NoOpTunnelListener());
	}

}
