package org.banyancove.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * A record of a slot's stream.
 * <p>
 * A kind that is unknown to this version is read as {@link Unrecognized} and has no
 * effect. A later version must not add a kind that grants a claim: a process that does
 * not recognize it would consider the key unclaimed and run the call again. Kinds that
 * end claims may be added.
 */
public sealed interface LedgerRecord {

	/**
	 * Returns the identifier by which the author recognizes the record.
	 * @return the identifier
	 */
	RecordId id();

	/**
	 * A record that takes effect only if its author holds the referenced claim.
	 */
	sealed interface ClaimantRecord extends LedgerRecord {

		/**
		 * Returns the process that appended the record.
		 * @return the author
		 */
		Incarnation author();

		/**
		 * Returns the key of the claim.
		 * @return the key
		 */
		CallKey key();

		/**
		 * Returns the offset of the record that granted the claim to the author. It
		 * prevents a duplicate append of this record from affecting a later claim of the
		 * same author.
		 * @return the offset of an {@link Intent} or {@link HandedOver}
		 */
		long claimOffset();

	}

	/**
	 * A process intends to run the call; the first intent for an unclaimed key wins.
	 *
	 * @param id the record's identifier
	 * @param author the process that intends to run the call
	 * @param key the call's key
	 * @param digest the digest of the call's body
	 * @param window how long the key is retained, measured by the log's record times;
	 * part of the record so that processes with different settings derive the same state
	 */
	record Intent(RecordId id, Incarnation author, CallKey key, BodyDigest digest,
			Duration window) implements LedgerRecord {

	}

	/**
	 * The call has ended.
	 *
	 * @param id the record's identifier
	 * @param author the claimant
	 * @param key the call's key
	 * @param claimOffset the offset of the claim
	 * @param answer the endpoint's answer, or {@code null} if the claimant does not know
	 * whether the call ran
	 */
	record Outcome(RecordId id, Incarnation author, CallKey key, long claimOffset,
			@Nullable StoredAnswer answer) implements ClaimantRecord {

	}

	/**
	 * The claimant has not dispatched the call and never will; a later intent may win.
	 *
	 * @param id the record's identifier
	 * @param author the claimant
	 * @param key the call's key
	 * @param claimOffset the offset of the claim
	 */
	record Released(RecordId id, Incarnation author, CallKey key, long claimOffset) implements ClaimantRecord {

	}

	/**
	 * The claimant has not dispatched the call and transfers the claim to another
	 * process.
	 *
	 * @param id the record's identifier
	 * @param author the claimant
	 * @param key the call's key
	 * @param claimOffset the offset of the claim
	 * @param receiver the new claimant
	 */
	record HandedOver(RecordId id, Incarnation author, CallKey key, long claimOffset,
			Incarnation receiver) implements ClaimantRecord {

	}

	/**
	 * A part of the state before an offset, for readers that start after retention has
	 * trimmed the records from which the state was derived. All parts are in a single
	 * append.
	 *
	 * @param id the record's identifier
	 * @param checkpoint the identifier shared by all parts
	 * @param through the offset before which all records are included
	 * @param logTime the log time of the state
	 * @param part the index of this part, from 0
	 * @param parts the number of parts
	 * @param states the full states in this part: running calls in the order of their
	 * intents, then ended calls in the order of their outcomes
	 * @param ended the keys in this part of which only a digest is kept
	 */
	record Checkpoint(RecordId id, RecordId checkpoint, long through, Instant logTime, int part, int parts,
			List<KeyState> states, EndedKeys ended) implements LedgerRecord {

		public Checkpoint {
			if (part < 0 || part >= parts) {
				throw new IllegalArgumentException("part must be from 0 to below " + parts + ": " + part);
			}
			states = List.copyOf(states);
		}

	}

	/**
	 * A record of an unknown kind, or one that cannot be decoded.
	 *
	 * @param id the record's identifier
	 */
	record Unrecognized(RecordId id) implements LedgerRecord {

	}

}
