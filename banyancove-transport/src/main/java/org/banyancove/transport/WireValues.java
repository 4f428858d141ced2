package org.banyancove.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.CallKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.banyancove.core.peer.Progress;
import org.banyancove.wire.WireCallKind;
import org.banyancove.wire.WireEnd;
import org.banyancove.wire.WireHeldRequest;
import org.banyancove.wire.WireIncarnation;
import org.banyancove.wire.WirePeerState;
import org.banyancove.wire.WirePeerStatus;
import org.banyancove.wire.WirePiece;
import org.banyancove.wire.WireProgress;
import org.jspecify.annotations.Nullable;

/**
 * Converts the values in messages between entry processes to and from protobuf.
 */
final class WireValues {

	private static final String PEER_STATUS_PREFIX = "PEER_STATUS_";

	private static final String CALL_KIND_PREFIX = "CALL_KIND_";

	private WireValues() {
	}

	static WireIncarnation encode(Incarnation incarnation) {
		return WireIncarnation.newBuilder().setVm(incarnation.vm().value()).setStart(incarnation.start()).build();
	}

	static Incarnation decode(WireIncarnation incarnation) {
		return new Incarnation(new VmId(incarnation.getVm()), incarnation.getStart());
	}

	static WirePeerState encode(PeerState state) {
		return WirePeerState.newBuilder()
			.setIncarnation(encode(state.incarnation()))
			.setDataCenter(state.dataCenter().value())
			.setZone(state.zone().value())
			.setAddress(state.address())
			.setRefutation(state.refutation())
			.setStatus(WirePeerStatus.valueOf(PEER_STATUS_PREFIX + state.status()))
			.build();
	}

	static List<PeerState> decodeStates(List<WirePeerState> states) {
		return states.stream()
			.map((state) -> new PeerState(decode(state.getIncarnation()), new DataCenterName(state.getDataCenter()),
					new ZoneName(state.getZone()), state.getAddress(), state.getRefutation(),
					PeerStatus.valueOf(withoutPrefix(PEER_STATUS_PREFIX, state.getStatus()))))
			.toList();
	}

	static WireHeldRequest encode(HeldRequest held) {
		WireHeldRequest.Builder wire = WireHeldRequest.newBuilder()
			.setRequest(held.request().value())
			.setAccount(held.account().value())
			.setService(held.service().value())
			.setKind(WireCallKind.valueOf(CALL_KIND_PREFIX + held.kind()))
			.setProfileOffset(held.profileOffset())
			.setMethod(held.method())
			.setPath(held.path())
			.setBody(encode(held.body()))
			.setDeadlineMillis(held.deadline().toEpochMilli());
		String key = held.idempotencyKey();
		if (key != null) {
			wire.setIdempotencyKey(key);
		}
		return wire.build();
	}

	static HeldRequest decode(WireHeldRequest wire) {
		return new HeldRequest(new RequestId(wire.getRequest()), new AccountName(wire.getAccount()),
				new ServiceName(wire.getService()), CallKind.valueOf(withoutPrefix(CALL_KIND_PREFIX, wire.getKind())),
				wire.getProfileOffset(), wire.getMethod(), wire.getPath(), decode(wire.getBody()),
				optional(wire.hasIdempotencyKey(), () -> wire.getIdempotencyKey()),
				Instant.ofEpochMilli(wire.getDeadlineMillis()));
	}

	static WireProgress encode(Progress progress) {
		WireProgress.Builder wire = WireProgress.newBuilder()
			.setAttempt(progress.attempt())
			.setFromOffset(progress.fromOffset())
			.addAllPieces(progress.pieces().stream().map(WireValues::encode).toList());
		EndpointId endpoint = progress.endpoint();
		if (endpoint != null) {
			wire.setEndpoint(endpoint.value());
		}
		return wire.build();
	}

	static Progress decode(WireProgress wire) {
		return new Progress(optional(wire.hasEndpoint(), () -> new EndpointId(wire.getEndpoint())), wire.getAttempt(),
				wire.getFromOffset(), decodePieces(wire.getPiecesList()));
	}

	static WirePiece encode(Piece piece) {
		return WirePiece.newBuilder()
			.setAttempt(piece.attempt())
			.setFromOffset(piece.fromOffset())
			.setToOffset(piece.toOffset())
			.setText(piece.text())
			.build();
	}

	static List<Piece> decodePieces(List<WirePiece> pieces) {
		return pieces.stream()
			.map((piece) -> new Piece(piece.getAttempt(), piece.getFromOffset(), piece.getToOffset(), piece.getText()))
			.toList();
	}

	static WireEnd encode(EndOfAnswer end) {
		return switch (end) {
			case EndOfAnswer.Complete(String finishReason) ->
				WireEnd.newBuilder().setFinishReason(finishReason).build();
			case EndOfAnswer.Failed(ErrorKind kind, Duration retryAfter) ->
				WireEnd.newBuilder().setError(kind.name()).setRetryAfterMillis(retryAfter.toMillis()).build();
		};
	}

	static EndOfAnswer decode(WireEnd wire) {
		if (wire.hasFinishReason()) {
			return new EndOfAnswer.Complete(wire.getFinishReason());
		}
		return new EndOfAnswer.Failed(ErrorKind.valueOf(wire.getError()),
				Duration.ofMillis(wire.getRetryAfterMillis()));
	}

	static ByteString encode(Body body) {
		return ByteString.copyFrom(body.toByteArray());
	}

	static Body decode(ByteString bytes) {
		return Body.copyOf(bytes.toByteArray());
	}

	static <T> @Nullable T optional(boolean present, Supplier<T> value) {
		if (present) {
			return value.get();
		}
		return null;
	}

	static String withoutPrefix(String prefix, Enum<?> wire) {
		String name = wire.name();
		if (!name.startsWith(prefix)) {
			throw new IllegalArgumentException(wire.getDeclaringClass().getSimpleName() + " must be known: " + name);
		}
		return name.substring(prefix.length());
	}

}
