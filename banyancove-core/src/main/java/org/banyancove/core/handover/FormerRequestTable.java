package org.banyancove.core.handover;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The requests formerly owned by this process, with the processes that have their
 * answers.
 */
final class FormerRequestTable {

	private final Map<RequestId, FormerRequest> formerRequests = new LinkedHashMap<>();

	private final InstantSource clock;

	private final Duration retention;

	FormerRequestTable(InstantSource clock, Duration retention) {
		this.clock = clock;
		this.retention = retention;
	}

	@Nullable FormerRequest find(RequestId request) {
		return this.formerRequests.get(request);
	}

	void add(OwnedRequest request, Incarnation owner, long ownership) {
		Instant expiresAt = this.clock.instant().plus(this.retention);
		this.formerRequests.put(request.held.request(),
				new FormerRequest(request.held.account(), owner, ownership, expiresAt));
	}

	void remove(RequestId request) {
		this.formerRequests.remove(request);
	}

	void removeExpired(Instant now) {
		this.formerRequests.values().removeIf((request) -> request.expiresAt.isBefore(now));
	}

	/**
	 * A request that this process no longer owns.
	 *
	 * @param account the account whose callers may read the answer
	 * @param owner the current owner
	 * @param ownership the ownership number of the owner
	 * @param expiresAt when the entry expires
	 */
	record FormerRequest(AccountName account, Incarnation owner, long ownership, Instant expiresAt) {

	}

}
