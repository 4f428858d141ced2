package org.banyancove.core.entry;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.handover.HandoverSystem;
import org.banyancove.core.ledger.ClaimSystem;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.membership.HeartbeatSource;
import org.banyancove.core.membership.MembershipListener;
import org.banyancove.core.membership.MembershipSystem;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.SuspectVerdict;
import org.banyancove.core.routing.Endpoint;
import org.banyancove.core.routing.EndpointState;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.suspect.Crash;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.core.suspect.SuspectExchange;
import org.banyancove.core.suspect.SuspectRecord;
import org.banyancove.core.suspect.SuspectSystem;

/**
 * Exchanges state with the other entries: supplies this entry's heartbeats and applies
 * those of its peers.
 */
final class PeerSystem implements HeartbeatSource, MembershipListener {

	private static final int HEXADECIMAL_DIGITS = 16;

	private final EndpointTable endpoints;

	private final EndpointSystem endpointSystem;

	private final SuspectSystem suspects;

	private final SuspectExchange exchange;

	private final Map<Incarnation, List<SuspectRecord>> unsentSuspects = new LinkedHashMap<>();

	private final ConfigurationSystem configuration;

	private final AttemptSystem attempts;

	private final ClaimSystem claims;

	private final HandoverSystem handover;

	private final int slots;

	private final InstantSource clock;

	PeerSystem(EndpointTable endpoints, EndpointSystem endpointSystem, SuspectSystem suspects,
			ConfigurationSystem configuration, AttemptSystem attempts, ClaimSystem claims, HandoverSystem handover,
			int slots, InstantSource clock) {
		this.endpoints = endpoints;
		this.endpointSystem = endpointSystem;
		this.suspects = suspects;
		this.exchange = new SuspectExchange(suspects, clock);
		this.configuration = configuration;
		this.attempts = attempts;
		this.claims = claims;
		this.handover = handover;
		this.slots = slots;
		this.clock = clock;
	}

	// Sends the suspects that changed since the last call to all peers, and all
	// known suspects to a peer that has missed a change.
	void sendSuspects(MembershipSystem membership) {
		Incarnation self = membership.self().incarnation();
		notices(self, this.suspects.drainChanged()).forEach(membership::announceSuspect);
		this.unsentSuspects.forEach((peer, records) -> notices(self, records)
			.forEach((notice) -> membership.sendSuspectNotice(peer, notice)));
		this.unsentSuspects.clear();
	}

	private static List<PeerMessage.SuspectNotice> notices(Incarnation self, List<SuspectRecord> records) {
		List<PeerMessage.SuspectNotice> notices = new ArrayList<>();
		for (SuspectRecord record : records) {
			for (Crash crash : record.crashes()) {
				// A loss that a wave of reclaims may explain is no evidence against
				// a request.
				if (!crash.inWave()) {
					notices.add(new PeerMessage.SuspectNotice(self, text(record.fingerprint()),
							SuspectVerdict.SUSPECTED, crash.endpoint(), crash.at()));
				}
			}
		}
		return notices;
	}

	@Override
	public long configurationOffset() {
		return this.configuration.offset();
	}

	@Override
	public List<Long> keySlotOffsets() {
		List<Long> offsets = new ArrayList<>();
		for (int index = 0; index < this.slots; index++) {
			offsets.add(this.claims.table(new KeySlot(index)).nextOffset());
		}
		return offsets;
	}

	@Override
	public List<EndpointLoad> drainSentLoads() {
		List<EndpointLoad> sent = this.attempts.drainSentLoads();
		sent.sort(Comparator.comparingLong(EndpointLoad::tokens).reversed());
		return sent;
	}

	@Override
	public List<EndpointId> leavingEndpoints() {
		return this.endpointSystem.leaving();
	}

	@Override
	public long suspectsDigest() {
		return this.suspects.digest();
	}

	@Override
	public void joined(PeerState peer) {
		this.handover.joined(peer);
	}

	@Override
	public void leaving(PeerState peer) {
		this.handover.leaving(peer);
	}

	@Override
	public void died(PeerState peer) {
		this.handover.died(peer);
	}

	@Override
	public void vmLeaving(PeerMessage.LeavingNotice notice) {
		this.endpointSystem.applyNotice(new EntryEvent.ReclaimNotice(notice.vm(), notice.reclaimAt()));
	}

	@Override
	public void suspectReported(PeerMessage.SuspectNotice notice) {
		if (notice.verdict() != SuspectVerdict.SUSPECTED) {
			return;
		}
		Crash crash = new Crash(notice.endpoint(), notice.at(), false);
		this.suspects.merge(List
			.of(new SuspectRecord(fingerprint(notice.fingerprint()), List.of(crash), Optional.empty(), Set.of())));
	}

	@Override
	public void heartbeatReceived(PeerMessage.Heartbeat heartbeat) {
		Instant now = this.clock.instant();
		heartbeat.sent().forEach((load) -> this.endpoints.peerSent(load.endpoint(), load.requests(), now));
		heartbeat.leavingEndpoints().forEach(this::leaving);
		List<SuspectRecord> missing = this.exchange.digestReceived(heartbeat.from(), heartbeat.suspectsDigest());
		if (!missing.isEmpty()) {
			this.unsentSuspects.put(heartbeat.from(), missing);
		}
		this.configuration.heartbeatReceived(heartbeat);
	}

	// A heartbeat does not contain the time of the reclaim; it only has to prevent
	// new requests at the endpoint.
	private void leaving(EndpointId id) {
		Endpoint endpoint = this.endpoints.find(id).orElse(null);
		if (endpoint != null && endpoint.state() == EndpointState.LIVE) {
			this.endpoints.markLeaving(id, this.clock.instant(), this.clock.instant());
		}
	}

	private static String text(Fingerprint fingerprint) {
		HexFormat format = HexFormat.of();
		return format.toHexDigits(fingerprint.high()) + format.toHexDigits(fingerprint.low());
	}

	private static Fingerprint fingerprint(String text) {
		return new Fingerprint(Long.parseUnsignedLong(text.substring(0, HEXADECIMAL_DIGITS), HEXADECIMAL_DIGITS),
				Long.parseUnsignedLong(text.substring(HEXADECIMAL_DIGITS), HEXADECIMAL_DIGITS));
	}

}
