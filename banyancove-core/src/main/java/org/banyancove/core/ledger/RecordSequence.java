package org.banyancove.core.ledger;

import org.banyancove.core.Incarnation;

/**
 * Generates unique identifiers for the records of this process.
 */
final class RecordSequence {

	private final Incarnation author;

	private long next;

	RecordSequence(Incarnation author) {
		this.author = author;
	}

	Incarnation author() {
		return this.author;
	}

	RecordId next() {
		return RecordId.of(this.author, this.next++);
	}

}
