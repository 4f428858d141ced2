package org.banyancove.transport;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.DataCenterDigest;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.PeerLogRecord;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.SuspectVerdict;
import org.banyancove.wire.Envelope;
import org.banyancove.wire.WireAnswerPieces;
import org.banyancove.wire.WireClaimForward;
import org.banyancove.wire.WireClaimForwardAnswer;
import org.banyancove.wire.WireDataCenterDigest;
import org.banyancove.wire.WireEndpointLoad;
import org.banyancove.wire.WireFetchAnswer;
import org.banyancove.wire.WireHandOver;
import org.banyancove.wire.WireHandOverAcknowledged;
import org.banyancove.wire.WireHeartbeat;
import org.banyancove.wire.WireHoldAcknowledged;
import org.banyancove.wire.WireHoldDropped;
import org.banyancove.wire.WireHoldProgress;
import org.banyancove.wire.WireHoldReleased;
import org.banyancove.wire.WireHoldRequest;
import org.banyancove.wire.WireLeavingNotice;
import org.banyancove.wire.WireLogRecord;
import org.banyancove.wire.WireLogRecordsRelay;
import org.banyancove.wire.WireLogRecordsRequest;
import org.banyancove.wire.WireMembershipRequest;
import org.banyancove.wire.WireMembershipState;
import org.banyancove.wire.WireProbe;
import org.banyancove.wire.WireSuspectNotice;
import org.banyancove.wire.WireSuspectVerdict;

/**
 * Converts messages between entry processes to and from protobuf.
 */
public final class PeerMessageCodec {

	private static final String VERDICT_PREFIX = "SUSPECT_VERDICT_";

	private PeerMessageCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the envelope with the message
	 */
	public static Envelope encode(PeerMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder().setFrom(WireValues.encode(message.from()));
		switch (message) {
			case PeerMessage.Heartbeat heartbeat -> envelope.setHeartbeat(encode(heartbeat));
			case PeerMessage.Probe probe ->
				envelope.setProbe(WireProbe.newBuilder().setAddress(probe.address()).setAnswer(probe.answer()));
			case PeerMessage.MembershipRequest request -> envelope.setMembershipRequest(encode(request));
			case PeerMessage.MembershipState state -> envelope.setMembershipState(WireMembershipState.newBuilder()
				.addAllStates(state.states().stream().map(WireValues::encode).toList()));
			case PeerMessage.LeavingNotice notice -> envelope.setLeavingNotice(WireLeavingNotice.newBuilder()
				.setVm(notice.vm().value())
				.addAllEndpoints(notice.endpoints().stream().map(EndpointId::value).toList())
				.setReclaimAtMillis(notice.reclaimAt().toEpochMilli()));
			case PeerMessage.SuspectNotice notice -> envelope.setSuspectNotice(WireSuspectNotice.newBuilder()
				.setFingerprint(notice.fingerprint())
				.setVerdict(WireSuspectVerdict.valueOf(VERDICT_PREFIX + notice.verdict()))
				.setEndpoint(notice.endpoint().value())
				.setAtMillis(notice.at().toEpochMilli()));
			case PeerMessage.HoldRequest request -> envelope.setHoldRequest(WireHoldRequest.newBuilder()
				.setOwnership(request.ownership())
				.setHeld(WireValues.encode(request.held())));
			case PeerMessage.HoldAcknowledged answer -> envelope.setHoldAcknowledged(WireHoldAcknowledged.newBuilder()
				.setRequest(answer.request().value())
				.setOwnership(answer.ownership())
				.setNextOffset(answer.nextOffset())
				.setHeld(answer.held()));
			case PeerMessage.HoldProgress progress -> envelope.setHoldProgress(WireHoldProgress.newBuilder()
				.setRequest(progress.request().value())
				.setOwnership(progress.ownership())
				.setProgress(WireValues.encode(progress.progress())));
			case PeerMessage.HoldReleased released -> envelope.setHoldReleased(WireHoldReleased.newBuilder()
				.setRequest(released.request().value())
				.setOwnership(released.ownership())
				.setTotalOffset(released.totalOffset())
				.setEnd(WireValues.encode(released.end())));
			case PeerMessage.HoldDropped dropped -> envelope.setHoldDropped(WireHoldDropped.newBuilder()
				.setRequest(dropped.request().value())
				.setOwnership(dropped.ownership()));
			case PeerMessage.HandOver handOver -> envelope.setHandOver(WireHandOver.newBuilder()
				.setOwnership(handOver.ownership())
				.setHeld(WireValues.encode(handOver.held()))
				.setProgress(WireValues.encode(handOver.progress())));
			case PeerMessage.HandOverAcknowledged answer ->
				envelope.setHandOverAcknowledged(WireHandOverAcknowledged.newBuilder()
					.setRequest(answer.request().value())
					.setOwnership(answer.ownership())
					.setAccepted(answer.accepted()));
			case PeerMessage.FetchAnswer fetch -> envelope.setFetchAnswer(WireFetchAnswer.newBuilder()
				.setRequest(fetch.request().value())
				.setAccount(fetch.account().value())
				.setFromOffset(fetch.fromOffset()));
			case PeerMessage.AnswerPieces answer -> envelope.setAnswerPieces(encode(answer));
			case PeerMessage.LogRecordsRequest request ->
				envelope.setLogRecordsRequest(WireLogRecordsRequest.newBuilder()
					.setStream(request.stream())
					.setFromOffset(request.fromOffset())
					.setLimit(request.limit()));
			case PeerMessage.LogRecordsRelay relay -> envelope.setLogRecordsRelay(encode(relay));
			case PeerMessage.ClaimForward forward -> envelope.setClaimForward(encode(forward));
			case PeerMessage.ClaimForwardAnswer answer -> envelope.setClaimForwardAnswer(encode(answer));
		}
		return envelope.build();
	}

	/**
	 * Decodes a message.
	 * @param envelope the envelope with the message
	 * @return the message
	 * @throws IllegalArgumentException if a field has an invalid value, or the envelope
	 * has no message that this version supports
	 */
	public static PeerMessage decode(Envelope envelope) {
		Incarnation from = WireValues.decode(envelope.getFrom());
		return switch (envelope.getMessageCase()) {
			case HEARTBEAT -> decode(from, envelope.getHeartbeat());
			case PROBE ->
				new PeerMessage.Probe(from, envelope.getProbe().getAddress(), envelope.getProbe().getAnswer());
			case MEMBERSHIP_REQUEST -> decode(from, envelope.getMembershipRequest());
			case MEMBERSHIP_STATE -> new PeerMessage.MembershipState(from,
					WireValues.decodeStates(envelope.getMembershipState().getStatesList()));
			case LEAVING_NOTICE -> decode(from, envelope.getLeavingNotice());
			case SUSPECT_NOTICE -> decode(from, envelope.getSuspectNotice());
			case HOLD_REQUEST -> new PeerMessage.HoldRequest(from, envelope.getHoldRequest().getOwnership(),
					WireValues.decode(envelope.getHoldRequest().getHeld()));
			case HOLD_ACKNOWLEDGED -> decode(from, envelope.getHoldAcknowledged());
			case HOLD_PROGRESS -> decode(from, envelope.getHoldProgress());
			case HOLD_RELEASED -> decode(from, envelope.getHoldReleased());
			case HOLD_DROPPED -> new PeerMessage.HoldDropped(from,
					new RequestId(envelope.getHoldDropped().getRequest()), envelope.getHoldDropped().getOwnership());
			case HAND_OVER -> new PeerMessage.HandOver(from, envelope.getHandOver().getOwnership(),
					WireValues.decode(envelope.getHandOver().getHeld()),
					WireValues.decode(envelope.getHandOver().getProgress()));
			case HAND_OVER_ACKNOWLEDGED -> decode(from, envelope.getHandOverAcknowledged());
			case FETCH_ANSWER -> decode(from, envelope.getFetchAnswer());
			case ANSWER_PIECES -> decode(from, envelope.getAnswerPieces());
			case LOG_RECORDS_REQUEST -> decode(from, envelope.getLogRecordsRequest());
			case LOG_RECORDS_RELAY -> decode(from, envelope.getLogRecordsRelay());
			case CLAIM_FORWARD -> decode(from, envelope.getClaimForward());
			case CLAIM_FORWARD_ANSWER -> decode(from, envelope.getClaimForwardAnswer());
			case KEEP_ALIVE, MESSAGE_NOT_SET ->
				throw new IllegalArgumentException("envelope must contain a message: " + envelope.getMessageCase());
		};
	}

	private static WireMembershipRequest encode(PeerMessage.MembershipRequest request) {
		WireMembershipRequest.Builder wire = WireMembershipRequest.newBuilder();
		request.digests()
			.forEach((digest) -> wire.addDigests(WireDataCenterDigest.newBuilder()
				.setDataCenter(digest.dataCenter().value())
				.setDigest(digest.digest())));
		return wire.build();
	}

	private static PeerMessage decode(Incarnation from, WireMembershipRequest wire) {
		return new PeerMessage.MembershipRequest(from, wire.getDigestsList()
			.stream()
			.map((digest) -> new DataCenterDigest(new DataCenterName(digest.getDataCenter()), digest.getDigest()))
			.toList());
	}

	private static WireHeartbeat encode(PeerMessage.Heartbeat heartbeat) {
		WireHeartbeat.Builder wire = WireHeartbeat.newBuilder()
			.setSequence(heartbeat.sequence())
			.setMembershipDigest(heartbeat.membershipDigest())
			.setConfigurationOffset(heartbeat.configurationOffset())
			.addAllKeySlotOffsets(heartbeat.keySlotOffsets())
			.setSuspectsDigest(heartbeat.suspectsDigest());
		heartbeat.sent()
			.forEach((load) -> wire.addSent(WireEndpointLoad.newBuilder()
				.setEndpoint(load.endpoint().value())
				.setRequests(load.requests())
				.setTokens(load.tokens())));
		heartbeat.leavingEndpoints().forEach((endpoint) -> wire.addLeavingEndpoints(endpoint.value()));
		heartbeat.states().forEach((state) -> wire.addStates(WireValues.encode(state)));
		return wire.build();
	}

	private static PeerMessage.Heartbeat decode(Incarnation from, WireHeartbeat wire) {
		return new PeerMessage.Heartbeat(from, wire.getSequence(), wire.getMembershipDigest(),
				wire.getConfigurationOffset(), wire.getKeySlotOffsetsList(),
				wire.getSentList()
					.stream()
					.map((load) -> new EndpointLoad(new EndpointId(load.getEndpoint()), load.getRequests(),
							load.getTokens()))
					.toList(),
				wire.getLeavingEndpointsList().stream().map(EndpointId::new).toList(), wire.getSuspectsDigest(),
				WireValues.decodeStates(wire.getStatesList()));
	}

	private static PeerMessage decode(Incarnation from, WireLeavingNotice wire) {
		return new PeerMessage.LeavingNotice(from, new VmId(wire.getVm()),
				wire.getEndpointsList().stream().map(EndpointId::new).toList(),
				Instant.ofEpochMilli(wire.getReclaimAtMillis()));
	}

	private static PeerMessage decode(Incarnation from, WireSuspectNotice wire) {
		return new PeerMessage.SuspectNotice(from, wire.getFingerprint(),
				SuspectVerdict.valueOf(WireValues.withoutPrefix(VERDICT_PREFIX, wire.getVerdict())),
				new EndpointId(wire.getEndpoint()), Instant.ofEpochMilli(wire.getAtMillis()));
	}

	private static PeerMessage decode(Incarnation from, WireHoldAcknowledged wire) {
		return new PeerMessage.HoldAcknowledged(from, new RequestId(wire.getRequest()), wire.getOwnership(),
				wire.getNextOffset(), wire.getHeld());
	}

	private static PeerMessage decode(Incarnation from, WireHoldProgress wire) {
		return new PeerMessage.HoldProgress(from, new RequestId(wire.getRequest()), wire.getOwnership(),
				WireValues.decode(wire.getProgress()));
	}

	private static PeerMessage decode(Incarnation from, WireHoldReleased wire) {
		return new PeerMessage.HoldReleased(from, new RequestId(wire.getRequest()), wire.getOwnership(),
				wire.getTotalOffset(), WireValues.decode(wire.getEnd()));
	}

	private static PeerMessage decode(Incarnation from, WireHandOverAcknowledged wire) {
		return new PeerMessage.HandOverAcknowledged(from, new RequestId(wire.getRequest()), wire.getOwnership(),
				wire.getAccepted());
	}

	private static PeerMessage decode(Incarnation from, WireFetchAnswer wire) {
		return new PeerMessage.FetchAnswer(from, new RequestId(wire.getRequest()), new AccountName(wire.getAccount()),
				wire.getFromOffset());
	}

	private static WireAnswerPieces encode(PeerMessage.AnswerPieces answer) {
		WireAnswerPieces.Builder wire = WireAnswerPieces.newBuilder()
			.setRequest(answer.request().value())
			.setFound(answer.found())
			.addAllPieces(answer.pieces().stream().map(WireValues::encode).toList());
		Incarnation owner = answer.owner();
		if (owner != null) {
			wire.setOwner(WireValues.encode(owner));
		}
		EndOfAnswer end = answer.end();
		if (end != null) {
			wire.setEnd(WireValues.encode(end));
		}
		return wire.build();
	}

	private static PeerMessage decode(Incarnation from, WireAnswerPieces wire) {
		return new PeerMessage.AnswerPieces(from, new RequestId(wire.getRequest()), wire.getFound(),
				WireValues.optional(wire.hasOwner(), () -> WireValues.decode(wire.getOwner())),
				WireValues.decodePieces(wire.getPiecesList()),
				WireValues.optional(wire.hasEnd(), () -> WireValues.decode(wire.getEnd())));
	}

	private static PeerMessage decode(Incarnation from, WireLogRecordsRequest wire) {
		return new PeerMessage.LogRecordsRequest(from, wire.getStream(), wire.getFromOffset(), wire.getLimit());
	}

	private static WireLogRecordsRelay encode(PeerMessage.LogRecordsRelay relay) {
		WireLogRecordsRelay.Builder wire = WireLogRecordsRelay.newBuilder()
			.setStream(relay.stream())
			.setFirstRetained(relay.firstRetained())
			.setEndOffset(relay.endOffset());
		relay.records()
			.forEach((record) -> wire.addRecords(
					WireLogRecord.newBuilder().setOffset(record.offset()).setId(record.id()).setData(record.data())));
		return wire.build();
	}

	private static PeerMessage decode(Incarnation from, WireLogRecordsRelay wire) {
		return new PeerMessage.LogRecordsRelay(from, wire.getStream(), wire.getFirstRetained(), wire.getEndOffset(),
				wire.getRecordsList()
					.stream()
					.map((record) -> new PeerLogRecord(record.getOffset(), record.getId(), record.getData()))
					.toList());
	}

	private static WireClaimForward encode(PeerMessage.ClaimForward forward) {
		return WireClaimForward.newBuilder()
			.setRequest(forward.request().value())
			.setAccount(forward.account().value())
			.setKey(forward.key())
			.setService(forward.service().value())
			.setMethod(forward.method())
			.setPath(forward.path())
			.setBody(WireValues.encode(forward.body()))
			.setDeadlineMillis(forward.deadline().toEpochMilli())
			.build();
	}

	private static PeerMessage decode(Incarnation from, WireClaimForward wire) {
		return new PeerMessage.ClaimForward(from, new RequestId(wire.getRequest()), new AccountName(wire.getAccount()),
				wire.getKey(), new ServiceName(wire.getService()), wire.getMethod(), wire.getPath(),
				WireValues.decode(wire.getBody()), Instant.ofEpochMilli(wire.getDeadlineMillis()));
	}

	private static WireClaimForwardAnswer encode(PeerMessage.ClaimForwardAnswer answer) {
		WireClaimForwardAnswer.Builder wire = WireClaimForwardAnswer.newBuilder()
			.setRequest(answer.request().value())
			.setStatus(answer.status())
			.setBody(WireValues.encode(answer.body()))
			.setRetryAfterMillis(answer.retryAfter().toMillis());
		ErrorKind error = answer.error();
		if (error != null) {
			wire.setError(error.name());
		}
		return wire.build();
	}

	private static PeerMessage decode(Incarnation from, WireClaimForwardAnswer wire) {
		return new PeerMessage.ClaimForwardAnswer(from, new RequestId(wire.getRequest()), wire.getStatus(),
				WireValues.decode(wire.getBody()),
				WireValues.optional(wire.hasError(), () -> ErrorKind.valueOf(wire.getError())),
				Duration.ofMillis(wire.getRetryAfterMillis()));
	}

}
