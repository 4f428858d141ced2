package org.banyancove.core.profile;

/**
 * The outcome of one record of the profiles stream, which is the same at every reader.
 */
public sealed interface ProfileOutcome {

	/**
	 * Returns the record's offset.
	 * @return the offset
	 */
	long offset();

	/**
	 * The change was accepted.
	 *
	 * @param offset the record's offset, which is the object's new revision
	 * @param change the change
	 */
	record Accepted(long offset, ProfileRecord.Change change) implements ProfileOutcome {

	}

	/**
	 * The change was rejected permanently.
	 *
	 * @param offset the record's offset
	 * @param change the change
	 * @param reason the reason
	 * @param currentRevision the object's current revision
	 */
	record Rejected(long offset, ProfileRecord.Change change, RejectionReason reason,
			long currentRevision) implements ProfileOutcome {

	}

	/**
	 * The record is a duplicate of a decided one.
	 *
	 * @param offset the duplicate's offset
	 * @param first the decision on the first copy
	 */
	record Duplicate(long offset, DecidedChange first) implements ProfileOutcome {

	}

	/**
	 * The record changes nothing: it is a checkpoint, or of a kind that this version does
	 * not support.
	 *
	 * @param offset the record's offset
	 */
	record Ignored(long offset) implements ProfileOutcome {

	}

}
