package org.banyancove.core.ledger;

import org.banyancove.core.Body;

/**
 * The endpoint's answer to a call, as stored in the ledger for repeats.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body; empty if it was too large or has expired
 * @param complete whether {@code body} is the complete body; if not, a repeat only learns
 * that the call ran and its status
 */
public record StoredAnswer(int status, String contentType, Body body, boolean complete) {

	private static final String NO_CONTENT_TYPE = "";

	/**
	 * Returns an answer whose body is no longer kept.
	 * @param status the HTTP status
	 * @return the answer without its body
	 */
	public static StoredAnswer withoutBody(int status) {
		return new StoredAnswer(status, NO_CONTENT_TYPE, Body.EMPTY, false);
	}

	/**
	 * Returns the form that is stored on the log: this answer, or this answer without its
	 * body if the body exceeds the limit.
	 * @param limit the maximum size of a stored body in bytes
	 * @return the answer to store
	 */
	public StoredAnswer limitedTo(int limit) {
		if (this.body.length() <= limit) {
			return this;
		}
		return new StoredAnswer(this.status, this.contentType, Body.EMPTY, false);
	}

}
