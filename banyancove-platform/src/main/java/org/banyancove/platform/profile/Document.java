package org.banyancove.platform.profile;

import org.jspecify.annotations.Nullable;

/**
 * A JSON document that represents a value.
 *
 * @param <T> the type of the value
 */
interface Document<T> {

	/**
	 * Returns the value that the document represents.
	 * @return the value, or {@code null} if the document's kind is not supported or it is
	 * incomplete
	 */
	@Nullable T value();

}
