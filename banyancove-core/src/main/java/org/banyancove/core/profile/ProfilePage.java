package org.banyancove.core.profile;

import java.util.List;

/**
 * A page of the profiles stream, received from the log or a peer.
 *
 * @param firstRetained the lowest offset that the log retains
 * @param endOffset the offset of the next record to be appended
 * @param entries the records, in the order of their offsets without a gap
 */
public record ProfilePage(long firstRetained, long endOffset, List<ProfileEntry> entries) {

	/**
	 * Creates the page with an immutable copy of its entries.
	 */
	public ProfilePage {
		entries = List.copyOf(entries);
	}

}
