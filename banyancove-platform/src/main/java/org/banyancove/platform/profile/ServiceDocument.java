package org.banyancove.platform.profile;

import java.util.List;
import java.util.Set;

import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;

/**
 * The JSON document of a service.
 */
record ServiceDocument(String name, String kind, String profile, String state, List<String> repeatableMethods,
		boolean checksFence) {

	static ServiceDocument of(ServiceDefinition service) {
		return new ServiceDocument(service.name().value(), service.kind().name(), service.profile().value(),
				service.state().name(), service.repeatableMethods().stream().sorted().toList(), service.checksFence());
	}

	ServiceDefinition service() {
		return new ServiceDefinition(new ServiceName(this.name), ServiceKind.valueOf(this.kind),
				new ProfileName(this.profile), ServiceState.valueOf(this.state), Set.copyOf(this.repeatableMethods),
				this.checksFence);
	}

}
