package org.banyancove.core.admission;

import java.time.Instant;

import org.banyancove.core.AccountName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.Profile;

/**
 * A request subject to admission control.
 *
 * @param request the request's identifier
 * @param account the account of the caller
 * @param service the requested service
 * @param profile the profile under which it was accepted
 * @param acceptedAt when it was accepted
 * @param cost the cost of the request in a unit common to all requests of the service,
 * such as tokens; positive
 * @param weight the account's weight, to which its share is proportional; positive
 */
public record AdmissionRequest(RequestId request, AccountName account, ServiceName service, Profile profile,
		Instant acceptedAt, double cost, double weight) {

	/**
	 * Creates the request.
	 * @throws IllegalArgumentException if cost or weight is not positive
	 */
	public AdmissionRequest {
		if (!(cost > 0)) {
			throw new IllegalArgumentException("cost must be positive: " + cost);
		}
		if (!(weight > 0)) {
			throw new IllegalArgumentException("weight must be positive: " + weight);
		}
	}

	Instant deadline() {
		return this.acceptedAt.plus(this.profile.deadline());
	}

}
