package org.banyancove.gateway.resumption;

import java.time.Duration;

/**
 * The origin of a stream and how it is known.
 *
 * @param origin the origin
 * @param source where it is known from
 * @param age the time since the stream's first event, or for which a version has been the
 * only one
 */
public record KnownOrigin(StreamOrigin origin, Source source, Duration age) {

	/**
	 * Where an origin is known from.
	 */
	public enum Source {

		/** This gateway has a record of the stream. */
		RECORD,

		/** Another gateway has a record of the stream. */
		PEER,

		/** The service has had only one version for longer than a caller may return. */
		ONLY_VERSION

	}

}
