package org.banyancove.core.entry;

import org.banyancove.core.profile.ProfileEntry;
import org.banyancove.core.profile.ProfileTableState;
import org.jspecify.annotations.Nullable;

/**
 * Encodes the records and the state of the profiles' stream as text for messages between
 * entries, and decodes them.
 */
public interface ProfileTextCodec {

	/**
	 * Encodes a record of the stream.
	 * @param entry the record
	 * @return its text
	 */
	String write(ProfileEntry entry);

	/**
	 * Encodes the complete state.
	 * @param state the state
	 * @return its text
	 */
	String write(ProfileTableState state);

	/**
	 * Decodes a record of the stream.
	 * @param text its text
	 * @return the record, or {@code null} if the text is not valid
	 */
	@Nullable ProfileEntry readEntry(String text);

	/**
	 * Decodes the complete state.
	 * @param text its text
	 * @return the state, or {@code null} if the text is not valid
	 */
	@Nullable ProfileTableState readState(String text);

}
