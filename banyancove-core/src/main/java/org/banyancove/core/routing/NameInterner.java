package org.banyancove.core.routing;

import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ZoneName;

/**
 * Interns the names that many endpoints share, since each read of the platform's list
 * creates new instances.
 */
final class NameInterner {

	private final Map<DataCenterName, DataCenterName> dataCenters = new HashMap<>();

	private final Map<ZoneName, ZoneName> zones = new HashMap<>();

	private final Map<MachineClass, MachineClass> classes = new HashMap<>();

	private final Map<ServiceName, ServiceName> services = new HashMap<>();

	EndpointDefinition intern(EndpointDefinition definition) {
		return new EndpointDefinition(definition.id(), definition.vm(),
				interned(this.dataCenters, definition.dataCenter()), interned(this.zones, definition.zone()),
				interned(this.classes, definition.machineClass()), interned(this.services, definition.service()),
				definition.address(), definition.pricePerHour());
	}

	private static <T> T interned(Map<T, T> instances, T name) {
		T existing = instances.putIfAbsent(name, name);
		return ((existing != null) ? existing : name);
	}

}
