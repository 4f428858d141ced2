package org.banyancove.gateway.resumption;

import java.util.Set;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * The software versions that the endpoints of a service have, as far as the store was
 * read.
 */
public interface ListedVersions {

	/**
	 * Returns the versions of a service.
	 * @param service the service
	 * @return the versions; none while no endpoint is listed
	 */
	Set<String> of(ServiceName service);

	/**
	 * Returns when the store last confirmed the list of endpoints.
	 * @return the monotonic time in ns, or {@code null} if it was never read
	 */
	@Nullable Long confirmedAt();

	/**
	 * Returns whether the store has confirmed the list since a time; if not, reads it.
	 * @param time the monotonic time in ns
	 * @return whether the list is that of the time or later
	 */
	boolean confirmedSince(long time);

}
