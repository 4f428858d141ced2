package org.banyancove.core.membership;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerPort;
import org.banyancove.core.peer.PeerState;

/**
 * The peers to which this process sends heartbeats and those from which it expects them.
 * Updated when the {@link PeerTable} changes.
 */
final class Neighborhood {

	private final PeerState self;

	private final PeerTable table;

	private final InstantSource clock;

	private final MembershipSettings settings;

	private final PeerPort port;

	private final Map<DataCenterName, Instant> lastContacts = new HashMap<>();

	private long tableChanges = -1;

	private List<PeerState> targets = List.of();

	private Set<Incarnation> monitored = Set.of();

	private Set<DataCenterName> relayedDataCenters = Set.of();

	Neighborhood(PeerState self, PeerTable table, InstantSource clock, MembershipSettings settings, PeerPort port) {
		this.self = self;
		this.table = table;
		this.clock = clock;
		this.settings = settings;
		this.port = port;
	}

	// The neighbors in the own data center and, if this process is a relay, the relays of
	// other data centers.
	List<PeerState> targets() {
		refresh(this.clock.instant());
		return this.targets;
	}

	// The processes from which this process expects heartbeats.
	Set<Incarnation> monitored() {
		return this.monitored;
	}

	// The data centers for which this process is a relay.
	Set<DataCenterName> relayedDataCenters() {
		return this.relayedDataCenters;
	}

	Instant lastContactAt(DataCenterName dataCenter, Instant now) {
		return this.lastContacts.computeIfAbsent(dataCenter, (key) -> now);
	}

	void recordContact(DataCenterName dataCenter, Instant now) {
		this.lastContacts.put(dataCenter, now);
	}

	void send(PeerMessage message) {
		targets().forEach((peer) -> this.port.send(peer.address(), message));
	}

	void refresh(Instant now) {
		if (this.table.changes() == this.tableChanges) {
			return;
		}
		this.tableChanges = this.table.changes();
		DataCenterName ownDataCenter = this.self.dataCenter();
		List<PeerState> ring = this.table.living(ownDataCenter);
		List<PeerState> newTargets = new ArrayList<>(
				RingTopology.targets(ring, this.self.incarnation(), this.settings.fanOut()));
		Set<Incarnation> newMonitored = new LinkedHashSet<>();
		RingTopology.sources(ring, this.self.incarnation(), this.settings.fanOut())
			.forEach((peer) -> newMonitored.add(peer.incarnation()));
		Set<DataCenterName> newRelayed = new LinkedHashSet<>();
		for (DataCenterName other : this.table.dataCenters()) {
			if (!other.equals(ownDataCenter) && isRelayFor(other, ring)) {
				newRelayed.add(other);
				if (!this.relayedDataCenters.contains(other)) {
					this.lastContacts.put(other, now);
				}
				newTargets.addAll(RingTopology.relays(this.table.living(other), ownDataCenter, this.settings.relays()));
			}
		}
		this.targets = List.copyOf(newTargets);
		this.relayedDataCenters = newRelayed;
		updateMonitored(newMonitored, now);
	}

	private boolean isRelayFor(DataCenterName other, List<PeerState> ring) {
		return RingTopology.relays(ring, other, this.settings.relays())
			.stream()
			.anyMatch((peer) -> peer.incarnation().equals(this.self.incarnation()));
	}

	private void updateMonitored(Set<Incarnation> newMonitored, Instant now) {
		for (Incarnation each : this.monitored) {
			PeerEntity peer = this.table.entity(each);
			if (peer != null && !newMonitored.contains(each)) {
				peer.stopMonitoring();
			}
		}
		for (Incarnation each : newMonitored) {
			PeerEntity peer = this.table.entity(each);
			if (peer != null) {
				peer.startMonitoring(now);
			}
		}
		this.monitored = newMonitored;
	}

}
