package org.banyancove.core.profile;

import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;

/**
 * A service with its profile.
 *
 * @param name the name by which callers address the service
 * @param kind the kind of its endpoints
 * @param profile the profile that applies to it
 * @param state whether it accepts new requests
 * @param repeatableMethods the HTTP methods of a plain service whose calls may be
 * repeated, in upper case; all others run at most once
 * @param checksFence whether the service's endpoints refuse orders with an old fencing
 * number
 */
public record ServiceDefinition(ServiceName name, ServiceKind kind, ProfileName profile, ServiceState state,
		Set<String> repeatableMethods, boolean checksFence) {

	/**
	 * Creates the definition with an immutable copy of the methods.
	 */
	public ServiceDefinition {
		repeatableMethods = Set.copyOf(repeatableMethods);
	}

	/**
	 * Returns whether a call with the given method may be repeated.
	 * @param method the HTTP method, in upper case
	 * @return whether the call may be repeated
	 */
	public boolean mayRepeat(String method) {
		return this.kind == ServiceKind.MODEL || this.repeatableMethods.contains(method);
	}

	/**
	 * Returns this service in the state {@link ServiceState#RETIRED}.
	 * @return the retired service
	 */
	public ServiceDefinition retired() {
		return new ServiceDefinition(this.name, this.kind, this.profile, ServiceState.RETIRED, this.repeatableMethods,
				this.checksFence);
	}

}
