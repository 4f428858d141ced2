package org.banyancove.core.handover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.banyancove.core.RequestId;
import org.banyancove.core.membership.PeerTable;
import org.banyancove.core.membership.Rendezvous;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;

/**
 * Ranks the peers that may hold or receive a request. Peers that are least likely to be
 * reclaimed together with the owner come first.
 */
final class HolderRanking {

	private static final int MAXIMUM_PEERS_TO_QUERY_ALL = 16;

	private static final int QUERIED_PEERS_PER_DATA_CENTER = 2;

	private final PeerState self;

	private final PeerTable peers;

	private final HandoverSettings settings;

	HolderRanking(PeerState self, PeerTable peers, HandoverSettings settings) {
		this.self = self;
		this.peers = peers;
		this.settings = settings;
	}

	/**
	 * Ranks the peers for a request: first nearby data centers, then other zones, then
	 * the same zone, and within each group by rendezvous hashing of the request.
	 * @param request the request
	 * @param otherDataCenterOnly whether to exclude the own data center
	 * @return the peers, best first
	 */
	List<PeerState> rank(RequestId request, boolean otherDataCenterOnly) {
		List<PeerState> candidates = nearby().stream()
			.filter((peer) -> peer.status() == PeerStatus.ALIVE)
			.filter((peer) -> !otherDataCenterOnly || !peer.dataCenter().equals(this.self.dataCenter()))
			.toList();
		return Rendezvous.rank(request.value(), candidates, (peer) -> peer.incarnation().toString())
			.stream()
			.sorted(Comparator.comparingInt(this::closeness))
			.toList();
	}

	/**
	 * Returns the peers that probably own or hold a request whose caller reconnected to
	 * this process.
	 * @param request the request
	 * @return the peers to query
	 */
	List<PeerState> probablyKnow(RequestId request) {
		List<PeerState> all = nearby();
		if (all.size() <= MAXIMUM_PEERS_TO_QUERY_ALL) {
			return all;
		}
		List<PeerState> queried = new ArrayList<>();
		all.stream().map(PeerState::dataCenter).distinct().forEach((dataCenter) -> {
			List<PeerState> ranked = Rendezvous.rank(request.value(), this.peers.living(dataCenter),
					(peer) -> peer.incarnation().toString());
			ranked.stream().filter(this::isOther).limit(QUERIED_PEERS_PER_DATA_CENTER).forEach(queried::add);
		});
		return queried;
	}

	private List<PeerState> nearby() {
		List<PeerState> found = new ArrayList<>(this.peers.living(this.self.dataCenter()));
		this.settings.nearby().forEach((dataCenter) -> found.addAll(this.peers.living(dataCenter)));
		return found.stream().filter(this::isOther).distinct().toList();
	}

	private boolean isOther(PeerState peer) {
		return !peer.incarnation().equals(this.self.incarnation());
	}

	private int closeness(PeerState peer) {
		if (!peer.dataCenter().equals(this.self.dataCenter())) {
			return 0;
		}
		if (!peer.zone().equals(this.self.zone())) {
			return 1;
		}
		return 2;
	}

}
