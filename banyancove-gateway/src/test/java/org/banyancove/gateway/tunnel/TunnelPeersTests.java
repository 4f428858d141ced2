package org.banyancove.gateway.tunnel;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.banyancove.core.DataCenterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TunnelPeersTests {

	private static final int DATA_CENTERS = 3;

	private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(4);

	private final TunnelPeers peers = new TunnelPeers(new SplittableRandom(1));

	// Guards against one peer that carries the load of all others, and against traffic
	// between data centers that a direct connection would not cause.
	@Test
	void peersOfTheOwnDataCenterAreChosenEvenly() {
		update(30);
		Map<String, Integer> chosen = new HashMap<>();
		for (int i = 0; i < 900; i++) {
			TunnelPeer peer = choose(Set.of(), 0);
			assertThat(peer.dataCenter()).isEqualTo(peer(0).dataCenter());
			chosen.merge(peer.name(), 1, Integer::sum);
		}
		assertThat(chosen).hasSize(9).allSatisfy((name, count) -> assertThat(count).isBetween(50, 150));
	}

	// Guards against requests that fail because all peers of their data center are
	// partitioned too.
	@Test
	void peersOfOtherDataCentersAreChosenAfterAFailureInTheOwnOne() {
		update(30);
		TunnelPeer failed = choose(Set.of(), 0);
		this.peers.recordFailure(failed, 0);
		assertThat(choose(Set.of(failed.name()), 1).dataCenter()).isNotEqualTo(failed.dataCenter());
	}

	@Test
	void aPeerThatFailedIsLeftAloneForABoundedTime() {
		update(2);
		TunnelPeer only = choose(Set.of(), 0);
		long now = 0;
		for (int i = 0; i < 20; i++) {
			this.peers.recordFailure(only, now);
			assertThat(this.peers.choose(Set.of(), now + 1)).isNull();
			now += LONGEST_BACKOFF.toNanos();
			assertThat(this.peers.choose(Set.of(), now)).isEqualTo(only);
		}
		this.peers.recordSuccess(only, now);
		assertThat(this.peers.choose(Set.of(), now)).isEqualTo(only);
	}

	// Guards against load on the first peer that happens to work while others fail.
	@Test
	void severalPeersAreUsedWhileOthersFail() {
		update(31);
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 200; i++) {
			Set<String> tried = new HashSet<>();
			for (int attempt = 0; attempt < 3; attempt++) {
				TunnelPeer peer = this.peers.choose(tried, i);
				if (peer == null) {
					break;
				}
				if (number(peer) % 2 == 0) {
					this.peers.recordSuccess(peer, i);
					used.add(peer.name());
					break;
				}
				tried.add(peer.name());
				this.peers.recordFailure(peer, i);
			}
		}
		assertThat(used).hasSizeGreaterThanOrEqualTo(3);
	}

	@Test
	void peersThatWereTriedAreNotChosenAgain() {
		update(3);
		Set<String> tried = new HashSet<>();
		tried.add(choose(tried, 0).name());
		tried.add(choose(tried, 0).name());
		assertThat(tried).hasSize(2);
		assertThat(this.peers.choose(tried, 0)).isNull();
	}

	private TunnelPeer choose(Set<String> tried, long now) {
		return Objects.requireNonNull(this.peers.choose(tried, now));
	}

	private void update(int gateways) {
		this.peers.update(peer(0), IntStream.range(1, gateways).mapToObj(TunnelPeersTests::peer).toList());
		assertThat(List.of(peer(0))).doesNotContain(choose(Set.of(), 0));
	}

	private static int number(TunnelPeer peer) {
		return Integer.parseInt(peer.name().substring("gateway-".length()));
	}

	private static TunnelPeer peer(int number) {
		return new TunnelPeer("gateway-" + number, new InetSocketAddress("10.0.0." + (1 + number), 7500),
				new DataCenterName("dc-" + number % DATA_CENTERS));
	}

}
