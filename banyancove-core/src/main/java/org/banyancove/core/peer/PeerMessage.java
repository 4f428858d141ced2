package org.banyancove.core.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.Body;
import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * A message between two entry processes. Messages may be delayed, duplicated, reordered
 * or lost; every receiver tolerates this.
 */
public sealed interface PeerMessage {

	/**
	 * Returns the process that sent the message.
	 * @return the sender
	 */
	Incarnation from();

	/**
	 * A heartbeat with the state that neighbors require.
	 *
	 * @param from the sender
	 * @param sequence a number that increases with each heartbeat of the sender
	 * @param membershipDigest a digest of the living peers of the sender's data center
	 * @param configurationOffset the offset up to which the sender has read the profiles
	 * @param keySlotOffsets the offset up to which it has read each key slot
	 * @param sent the load that it sent to endpoints since its last heartbeat to the
	 * receiver
	 * @param leavingEndpoints the leaving endpoints
	 * @param suspectsDigest a digest of the fingerprints that it suspects
	 * @param states the states of peers
	 */
	record Heartbeat(Incarnation from, long sequence, long membershipDigest, long configurationOffset,
			List<Long> keySlotOffsets, List<EndpointLoad> sent, List<EndpointId> leavingEndpoints, long suspectsDigest,
			List<PeerState> states) implements PeerMessage {

		public Heartbeat {
			keySlotOffsets = List.copyOf(keySlotOffsets);
			sent = List.copyOf(sent);
			leavingEndpoints = List.copyOf(leavingEndpoints);
			states = List.copyOf(states);
		}

	}

	/**
	 * Probes a silent neighbor, or answers a probe.
	 *
	 * @param from the sender
	 * @param address the sender's address in the form {@code host:port}
	 * @param answer whether this is the answer
	 */
	record Probe(Incarnation from, String address, boolean answer) implements PeerMessage {

	}

	/**
	 * Requests the states of the peers of those data centers whose digests differ at the
	 * receiver.
	 *
	 * @param from the sender
	 * @param digests a digest of the living peers of each data center of the sender's
	 * membership list
	 */
	record MembershipRequest(Incarnation from, List<DataCenterDigest> digests) implements PeerMessage {

		public MembershipRequest {
			digests = List.copyOf(digests);
		}

	}

	/**
	 * Sends the states of peers.
	 *
	 * @param from the sender
	 * @param states the states
	 */
	record MembershipState(Incarnation from, List<PeerState> states) implements PeerMessage {

		public MembershipState {
			states = List.copyOf(states);
		}

	}

	/**
	 * Announces that a VM with its endpoints is about to be reclaimed.
	 *
	 * @param from the sender, which may forward the notice of another process
	 * @param vm the VM
	 * @param endpoints the endpoints on it
	 * @param reclaimAt the time at which the platform reclaims it
	 */
	record LeavingNotice(Incarnation from, VmId vm, List<EndpointId> endpoints,
			Instant reclaimAt) implements PeerMessage {

		public LeavingNotice {
			endpoints = List.copyOf(endpoints);
		}

	}

	/**
	 * Reports the verdict on a request's fingerprint after an endpoint crashed.
	 *
	 * @param from the sender
	 * @param fingerprint the digest of the request's service and body
	 * @param verdict the verdict
	 * @param endpoint the endpoint that crashed or, for a cleared one, that ran it
	 * @param at the time of the crash
	 */
	record SuspectNotice(Incarnation from, String fingerprint, SuspectVerdict verdict, EndpointId endpoint,
			Instant at) implements PeerMessage {

	}

	/**
	 * Requests a peer to hold a request.
	 *
	 * @param from the owner
	 * @param ownership the owner's ownership number for the request
	 * @param held the request
	 */
	record HoldRequest(Incarnation from, long ownership, HeldRequest held) implements PeerMessage {

	}

	/**
	 * Acknowledges that a request is held, or reports a higher ownership number.
	 *
	 * @param from the holder
	 * @param request the request
	 * @param ownership the highest ownership number received by the holder
	 * @param nextOffset the offset of the first token of the answer that it has not
	 * received
	 * @param held whether the holder holds the request for the sender of the request
	 */
	record HoldAcknowledged(Incarnation from, RequestId request, long ownership, long nextOffset,
			boolean held) implements PeerMessage {

	}

	/**
	 * Copies a part of an answer to the holder.
	 *
	 * @param from the owner
	 * @param request the request
	 * @param ownership the owner's ownership number
	 * @param progress the part of the answer
	 */
	record HoldProgress(Incarnation from, RequestId request, long ownership, Progress progress) implements PeerMessage {

	}

	/**
	 * Notifies the holder that the request has ended.
	 *
	 * @param from the owner
	 * @param request the request
	 * @param ownership the owner's ownership number
	 * @param totalOffset the offset after the answer's last token
	 * @param end the end of the answer
	 */
	record HoldReleased(Incarnation from, RequestId request, long ownership, long totalOffset,
			EndOfAnswer end) implements PeerMessage {

	}

	/**
	 * Notifies a peer that it need no longer hold a request, since another one holds it.
	 *
	 * @param from the owner
	 * @param request the request
	 * @param ownership the owner's ownership number
	 */
	record HoldDropped(Incarnation from, RequestId request, long ownership) implements PeerMessage {

	}

	/**
	 * Transfers a request to a new owner.
	 *
	 * @param from the former owner
	 * @param ownership the ownership number of the new owner
	 * @param held the request
	 * @param progress the answer so far, from offset 0
	 */
	record HandOver(Incarnation from, long ownership, HeldRequest held, Progress progress) implements PeerMessage {

	}

	/**
	 * Acknowledges or rejects the transfer of a request.
	 *
	 * @param from the receiver
	 * @param request the request
	 * @param ownership the highest ownership number received by the receiver
	 * @param accepted whether the receiver now owns the request
	 */
	record HandOverAcknowledged(Incarnation from, RequestId request, long ownership,
			boolean accepted) implements PeerMessage {

	}

	/**
	 * Requests the answer to a request whose caller reconnected to another entry.
	 *
	 * @param from the sender
	 * @param request the request
	 * @param account the requesting account; answers to other accounts are not returned
	 * @param fromOffset the offset of the first requested token
	 */
	record FetchAnswer(Incarnation from, RequestId request, AccountName account,
			long fromOffset) implements PeerMessage {

	}

	/**
	 * Sends a part of an answer for a caller that reconnected to another entry.
	 *
	 * @param from the sender
	 * @param request the request
	 * @param found whether the sender has a record of the request
	 * @param owner the request's owner as known to the sender, or {@code null}
	 * @param pieces the pieces, in order
	 * @param end the end of the answer, or {@code null} while it is running
	 */
	record AnswerPieces(Incarnation from, RequestId request, boolean found, @Nullable Incarnation owner,
			List<Piece> pieces, @Nullable EndOfAnswer end) implements PeerMessage {

		public AnswerPieces {
			pieces = List.copyOf(pieces);
		}

	}

	/**
	 * Requests records of the platform's log from a peer.
	 *
	 * @param from the sender
	 * @param stream the log's stream
	 * @param fromOffset the offset of the first requested record
	 * @param limit the maximum number of records
	 */
	record LogRecordsRequest(Incarnation from, String stream, long fromOffset, int limit) implements PeerMessage {

	}

	/**
	 * Forwards records of the platform's log.
	 *
	 * @param from the sender
	 * @param stream the log's stream
	 * @param firstRetained the lowest offset that the log retains, as last read
	 * @param endOffset the offset after the last record, as last read
	 * @param records the records, in the order of their offsets without a gap
	 */
	record LogRecordsRelay(Incarnation from, String stream, long firstRetained, long endOffset,
			List<PeerLogRecord> records) implements PeerMessage {

		public LogRecordsRelay {
			records = List.copyOf(records);
		}

	}

	/**
	 * Forwards an at-most-once call to the usual claimant of its key.
	 *
	 * @param from the sender
	 * @param request the request
	 * @param account the caller's account
	 * @param key the idempotency key
	 * @param service the requested service
	 * @param method the HTTP method
	 * @param path the path, with its query
	 * @param body the request's body
	 * @param deadline the time after which the answer is useless
	 */
	record ClaimForward(Incarnation from, RequestId request, AccountName account, String key, ServiceName service,
			String method, String path, Body body, Instant deadline) implements PeerMessage {

	}

	/**
	 * Answers a forwarded call.
	 *
	 * @param from the sender
	 * @param request the request
	 * @param status the HTTP status of the answer
	 * @param body the answer's body
	 * @param error the kind of error, or {@code null} if the call ran
	 * @param retryAfter the delay after which the caller should retry
	 */
	record ClaimForwardAnswer(Incarnation from, RequestId request, int status, Body body, @Nullable ErrorKind error,
			Duration retryAfter) implements PeerMessage {

	}

}
