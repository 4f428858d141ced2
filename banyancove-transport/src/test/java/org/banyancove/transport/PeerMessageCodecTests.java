package org.banyancove.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

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
import org.banyancove.core.peer.DataCenterDigest;
import org.banyancove.core.peer.EndpointLoad;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.PeerLogRecord;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.peer.PeerState;
import org.banyancove.core.peer.PeerStatus;
import org.banyancove.core.peer.Progress;
import org.banyancove.core.peer.SuspectVerdict;
import org.banyancove.wire.Envelope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class PeerMessageCodecTests {

	private static final Incarnation SELF = new Incarnation(new VmId("vm-1"), -7);

	private static final RequestId REQUEST = new RequestId("r-1");

	private static final Instant TIME = Instant.ofEpochMilli(1_700_000_000_123L);

	private static final Duration DELAY = Duration.ofMillis(1500);

	private static final EndpointId ENDPOINT = new EndpointId("e-1");

	@ParameterizedTest
	@MethodSource("messages")
	void everyMessageSurvivesARoundTrip(PeerMessage message) throws Exception {
		Envelope decoded = Envelope.parseFrom(PeerMessageCodec.encode(message).toByteArray());
		assertThat(PeerMessageCodec.decode(decoded)).isEqualTo(message);
	}

	@Test
	void messagesCoverEveryMessageType() {
		assertThat(messages().map(Object::getClass).distinct())
			.hasSameSizeAs(PeerMessage.class.getPermittedSubclasses());
	}

	@Test
	void envelopeWithoutAMessageIsRejected() {
		Envelope envelope = Envelope.newBuilder()
			.setFrom(PeerMessageCodec.encode(messages().findFirst().orElseThrow()).getFrom())
			.build();
		assertThatIllegalArgumentException().isThrownBy(() -> PeerMessageCodec.decode(envelope));
	}

	static Stream<PeerMessage> messages() {
		PeerState state = new PeerState(SELF, new DataCenterName("north1"), new ZoneName("z"), "127.0.0.1:1", 3,
				PeerStatus.LEAVING);
		HeldRequest held = new HeldRequest(REQUEST, new AccountName("a"), new ServiceName("s"), CallKind.MODEL, 4,
				"POST", "/v1/chat/completions", Body.of("{}"), null, TIME);
		HeldRequest keyed = new HeldRequest(REQUEST, new AccountName("a"), new ServiceName("s"), CallKind.AT_MOST_ONCE,
				4, "POST", "/orders", Body.of("{}"), "key", TIME);
		List<Piece> pieces = List.of(new Piece(2, 5, 6, "x "), new Piece(2, 6, 9, "y z "));
		EndOfAnswer complete = new EndOfAnswer.Complete("stop");
		EndOfAnswer failed = new EndOfAnswer.Failed(ErrorKind.ANSWER_INCOMPLETE, DELAY);
		return Stream.of(new PeerMessage.Heartbeat(SELF, 9, -1, -1, List.of(1L, 2L),
				List.of(new EndpointLoad(ENDPOINT, 2, 70)), List.of(ENDPOINT), 77, List.of(state)),
				new PeerMessage.Probe(SELF, "127.0.0.1:1", true),
				new PeerMessage.MembershipRequest(SELF,
						List.of(new DataCenterDigest(new DataCenterName("north2"), -5))),
				new PeerMessage.MembershipState(SELF, List.of(state)),
				new PeerMessage.LeavingNotice(SELF, new VmId("vm-9"), List.of(ENDPOINT), TIME),
				new PeerMessage.SuspectNotice(SELF, "ab12", SuspectVerdict.CONDEMNED, ENDPOINT, TIME),
				new PeerMessage.HoldRequest(SELF, 1, held), new PeerMessage.HoldRequest(SELF, 1, keyed),
				new PeerMessage.HoldAcknowledged(SELF, REQUEST, 1, 8, true),
				new PeerMessage.HoldProgress(SELF, REQUEST, 1, new Progress(ENDPOINT, 2, 5, pieces)),
				new PeerMessage.HoldReleased(SELF, REQUEST, 1, 9, complete),
				new PeerMessage.HoldDropped(SELF, REQUEST, 1), new PeerMessage.HandOver(SELF, 2, held, Progress.none()),
				new PeerMessage.HandOverAcknowledged(SELF, REQUEST, 2, false),
				new PeerMessage.FetchAnswer(SELF, REQUEST, new AccountName("a"), 5),
				new PeerMessage.AnswerPieces(SELF, REQUEST, true, SELF, pieces, failed),
				new PeerMessage.AnswerPieces(SELF, REQUEST, false, null, List.of(), null),
				new PeerMessage.LogRecordsRequest(SELF, "profiles", 5, 100),
				new PeerMessage.LogRecordsRelay(SELF, "profiles", 1, 8, List.of(new PeerLogRecord(7, "id", "data"))),
				new PeerMessage.ClaimForward(SELF, REQUEST, new AccountName("a"), "key", new ServiceName("s"), "POST",
						"/orders", Body.of("body"), TIME),
				new PeerMessage.ClaimForwardAnswer(SELF, REQUEST, 503, Body.EMPTY, ErrorKind.LOG_UNREACHABLE, DELAY),
				new PeerMessage.ClaimForwardAnswer(SELF, REQUEST, 200, Body.of("ok"), null, Duration.ZERO));
	}

}
