package org.banyancove.gateway.daemon;

import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.resumption.ListedVersions;
import org.jspecify.annotations.Nullable;

/**
 * The versions known to a gateway that has never read the list of endpoints.
 */
final class UnreadVersions implements ListedVersions {

	@Override
	public Set<String> of(ServiceName service) {
		return Set.of();
	}

	@Override
	public @Nullable Long confirmedAt() {
		return null;
	}

	@Override
	public boolean confirmedSince(long time) {
		return false;
	}

}
