package org.banyancove.core.entry;

import java.util.List;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.burn.RequestSample;
import org.banyancove.core.ledger.AppendId;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.ledger.LedgerRecord;
import org.banyancove.core.peer.PeerMessage;
import org.banyancove.core.profile.ProfileRecord;

/**
 * A command of the core to the components around it.
 */
public sealed interface EntryCommand {

	/**
	 * Delivers a part of an answer to a caller.
	 *
	 * @param subscriber the caller's connection
	 * @param part the part
	 */
	record Deliver(SubscriberId subscriber, AnswerPart part) implements EntryCommand {

	}

	/**
	 * Starts an attempt at an endpoint.
	 *
	 * @param request the request
	 * @param attempt the attempt's number
	 * @param endpoint the endpoint
	 * @param address the endpoint's address
	 * @param content the request to send
	 */
	record StartAttempt(RequestId request, int attempt, EndpointId endpoint, String address,
			AttemptRequest content) implements EntryCommand {

	}

	/**
	 * Ends an attempt that cannot be started as one that could not connect, after the
	 * current event has been handled.
	 *
	 * @param request the request
	 * @param attempt the attempt's number
	 */
	record FailAttempt(RequestId request, int attempt) implements EntryCommand {

	}

	/**
	 * Closes the connection of an attempt, so that the endpoint's next request uses a new
	 * one.
	 *
	 * @param request the request
	 * @param attempt the attempt's number
	 * @param endpoint the endpoint
	 */
	record CancelAttempt(RequestId request, int attempt, EndpointId endpoint) implements EntryCommand {

	}

	/**
	 * Cancels a stream at its engine.
	 *
	 * @param request the request
	 * @param endpoint the engine
	 * @param address the engine's address
	 */
	record CancelStream(RequestId request, EndpointId endpoint, String address) implements EntryCommand {

	}

	/**
	 * Copies the KV cache of a stream from one engine to another;
	 * {@link EntryEvent.CacheMoved} follows.
	 *
	 * @param request the request
	 * @param source the address of the engine that has the cache
	 * @param target the engine that imports the cache
	 * @param targetAddress the address of the importing engine
	 */
	record MoveCache(RequestId request, String source, EndpointId target,
			String targetAddress) implements EntryCommand {

	}

	/**
	 * Sends a message to another entry.
	 *
	 * @param address the other entry's address
	 * @param message the message
	 */
	record SendToPeer(String address, PeerMessage message) implements EntryCommand {

	}

	/**
	 * Records how a request ended, for the error budget report.
	 *
	 * @param sample the sample of the request
	 */
	record RecordSample(RequestSample sample) implements EntryCommand {

	}

	/**
	 * Reads the profiles' stream until {@link StopReadingProfiles}.
	 *
	 * @param fromOffset the offset of the first record to read
	 */
	record ReadProfiles(long fromOffset) implements EntryCommand {

	}

	/**
	 * Stops reading the profiles' stream. A page that is already being read is still
	 * applied.
	 */
	record StopReadingProfiles() implements EntryCommand {

	}

	/**
	 * Appends a checkpoint to the profiles' stream. The result of the append is not
	 * reported, since the stream itself shows whether the checkpoint was written.
	 *
	 * @param checkpoint the checkpoint
	 */
	record AppendCheckpoint(ProfileRecord.ProfilesCheckpoint checkpoint) implements EntryCommand {

	}

	/**
	 * Appends records of a key slot to the log atomically.
	 *
	 * @param slot the slot
	 * @param append the identifier of the append in its result
	 * @param records the records
	 */
	record AppendToLog(KeySlot slot, AppendId append, List<LedgerRecord> records) implements EntryCommand {

		public AppendToLog {
			records = List.copyOf(records);
		}

	}

}
