package org.banyancove.http;

/**
 * The signs that the bytes on a connection are not, or not only, the expected response.
 */
public enum FramingViolation {

	/** Bytes were received while no response was expected. */
	UNEXPECTED_BYTES,

	/** Bytes follow a complete response. */
	BYTES_AFTER_RESPONSE,

	/** A response does not begin with a status line. */
	NO_STATUS_LINE,

	/** The status is not one of 100 to 599. */
	INVALID_STATUS,

	/** The reason phrase has a control character. */
	INVALID_REASON,

	/** The body has a transfer coding that is not decoded. */
	UNKNOWN_TRANSFER_CODING,

	/** The head has two status lines, so that it consists of parts of two responses. */
	SECOND_STATUS_LINE,

	/** The head has a line that is no header. */
	NO_HEADER,

	/**
	 * The body of a response has another status line in it, and its end was not stated,
	 * belongs to a response that is discarded, or is followed by bytes.
	 */
	STATUS_LINE_IN_BODY

}
