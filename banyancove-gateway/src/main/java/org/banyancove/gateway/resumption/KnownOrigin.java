package org.banyancove.gateway.resumption;

import java.time.Duration;

/**
 * The origin of a stream and how it is known.
 *
 * @param origin the origin
 * @param source where it is known from
 * @param age the time since the stream began, or for the only version of a service the
 * time since this gateway began to watch it
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
