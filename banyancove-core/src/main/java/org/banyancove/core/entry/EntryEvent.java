package org.banyancove.core.entry;

import java.time.Instant;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.AppendId;
import org.banyancove.core.ledger.AppendResult;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.ledger.LoggedRecord;
import org.banyancove.core.membership.PeerSeed;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.routing.CacheChange;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.LoadReport;

/**
 * An event that the core handles.
 */
public sealed interface EntryEvent {

	/**
	 * A caller sent a request.
	 *
	 * @param subscriber the connection that waits for the answer
	 * @param call the request
	 */
	record CallArrived(SubscriberId subscriber, Call call) implements EntryEvent {

	}

	/**
	 * A caller reconnected for the answer to a request that was accepted before.
	 *
	 * @param subscriber the connection that waits for the answer
	 * @param request the request
	 * @param account the caller's account
	 * @param fromOffset the offset of the first requested token
	 */
	record CallerReturned(SubscriberId subscriber, RequestId request, AccountName account,
			long fromOffset) implements EntryEvent {

	}

	/**
	 * A caller's connection was closed, before or after its answer.
	 *
	 * @param subscriber the connection
	 * @param request the request it waited for
	 */
	record CallerLeft(SubscriberId subscriber, RequestId request) implements EntryEvent {

	}

	/**
	 * An engine sent a piece of an answer.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt that the piece belongs to
	 * @param fromOffset the offset of the piece's first token
	 * @param toOffset the offset after its last token
	 * @param text the tokens' text
	 */
	record PieceArrived(RequestId request, int attempt, long fromOffset, long toOffset,
			String text) implements EntryEvent {

	}

	/**
	 * An attempt at an endpoint ended.
	 *
	 * @param request the request
	 * @param attempt the attempt's number
	 * @param result its result
	 */
	record AttemptEnded(RequestId request, int attempt, AttemptResult result) implements EntryEvent {

	}

	/**
	 * The platform's list of VMs was read. The list lags behind the actual state.
	 *
	 * @param asOf the time of the listed state
	 * @param live the endpoints on live VMs
	 * @param leaving the VMs that are being reclaimed
	 * @param entries the possible addresses of other entries
	 */
	record VmsListed(Instant asOf, List<EndpointDefinition> live, List<ReclaimNotice> leaving,
			List<PeerSeed> entries) implements EntryEvent {

		public VmsListed {
			live = List.copyOf(live);
			leaving = List.copyOf(leaving);
			entries = List.copyOf(entries);
		}

	}

	/**
	 * The platform announced a reclaim.
	 *
	 * @param notice the notice
	 */
	record ReclaimAnnounced(ReclaimNotice notice) implements EntryEvent {

	}

	/**
	 * An endpoint reported its load.
	 *
	 * @param endpoint the endpoint
	 * @param report the report, which lags behind the actual load
	 */
	record LoadReported(EndpointId endpoint, LoadReport report) implements EntryEvent {

	}

	/**
	 * An engine's prefix cache changed.
	 *
	 * @param endpoint the engine
	 * @param change the change, which arrives late and may follow a gap
	 */
	record CacheChanged(EndpointId endpoint, CacheChange change) implements EntryEvent {

	}

	/**
	 * Records of a key slot were read from the log.
	 *
	 * @param slot the slot
	 * @param firstRetained the offset of the oldest record that the log retains
	 * @param endOffset the offset of the next record to be appended
	 * @param records the records, in order
	 */
	record KeysRead(KeySlot slot, long firstRetained, long endOffset,
			List<LoggedRecord> records) implements EntryEvent {

		public KeysRead {
			records = List.copyOf(records);
		}

	}

	/**
	 * Records of the profiles' stream were read from the log.
	 *
	 * @param page the page that was read
	 */
	record ProfilesRead(ProfilePage page) implements EntryEvent {

	}

	/**
	 * An append to the log completed, was rejected or timed out.
	 *
	 * @param append the append
	 * @param result its result
	 */
	record AppendAnswered(AppendId append, AppendResult result) implements EntryEvent {

	}

	/**
	 * The copy of a stream's KV cache to another engine succeeded or failed.
	 *
	 * @param request the request
	 * @param target the engine that should import the cache
	 * @param imported whether the engine imported the cache
	 */
	record CacheMoved(RequestId request, EndpointId target, boolean imported) implements EntryEvent {

	}

	/**
	 * Another entry sent a message.
	 *
	 * @param message the message
	 */
	record PeerMessageArrived(PeerMessage message) implements EntryEvent {

	}

	/**
	 * The timer of the event loop expired.
	 */
	record Ticked() implements EntryEvent {

	}

	/**
	 * A graceful stop of this process was requested.
	 */
	record StopRequested() implements EntryEvent {

	}

	/**
	 * A handover of all requests was requested, since this process must end before they
	 * complete.
	 */
	record HandOverRequested() implements EntryEvent {

	}

	/**
	 * An announced reclaim of one VM.
	 *
	 * @param vm the VM
	 * @param reclaimAt the time of the reclaim
	 */
	record ReclaimNotice(VmId vm, Instant reclaimAt) {

	}

}
