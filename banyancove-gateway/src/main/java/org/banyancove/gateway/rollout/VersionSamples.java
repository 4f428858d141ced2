package org.banyancove.gateway.rollout;

import java.util.Collection;

/**
 * Request counts of one version of a service.
 *
 * @param sent the number of requests sent to it
 * @param answered the number of requests that ended
 * @param bad the number of requests that failed or were several times slower than the
 * baseline's
 */
public record VersionSamples(long sent, long answered, long bad) {

	/** No requests. */
	public static final VersionSamples NONE = new VersionSamples(0, 0, 0);

	static VersionSamples sum(Collection<VersionSamples> all) {
		return all.stream().reduce(NONE, VersionSamples::plus);
	}

	VersionSamples plus(VersionSamples other) {
		return new VersionSamples(this.sent + other.sent, this.answered + other.answered, this.bad + other.bad);
	}

	VersionSamples minus(VersionSamples other) {
		return new VersionSamples(Math.max(0, this.sent - other.sent), Math.max(0, this.answered - other.answered),
				Math.max(0, this.bad - other.bad));
	}

}
