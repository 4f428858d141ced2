package org.banyancove.core.ledger;

import org.banyancove.core.Incarnation;

/**
 * The identifier of a record on the log, by which its author recognizes it if the answer
 * to its append was lost.
 *
 * @param value the identifier, never blank and unique across all processes
 */
public record RecordId(String value) {

	/**
	 * Creates the identifier.
	 * @throws IllegalArgumentException if {@code value} is blank
	 */
	public RecordId {
		if (value.isBlank()) {
			throw new IllegalArgumentException("value must not be blank: '" + value + "'");
		}
	}

	/**
	 * Returns the identifier of an author's record.
	 * @param author the process that appends the record
	 * @param sequence a number that is unique for the author
	 * @return the identifier
	 */
	public static RecordId of(Incarnation author, long sequence) {
		return new RecordId(author + "." + Long.toHexString(sequence));
	}

	@Override
	public String toString() {
		return this.value;
	}

}
