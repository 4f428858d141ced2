package org.banyancove.planner;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyancove.core.Incarnation;
import org.banyancove.core.planner.PlannerSystem;
import org.banyancove.core.planner.VmKind;
import org.jspecify.annotations.Nullable;

/**
 * The status page of a planner as JSON.
 *
 * @param process the incarnation of this process
 * @param dataCenter the data center
 * @param fence the fencing token, or {@code null} without the lease
 * @param surviving the capacity that remains after the loss of the largest zone
 * @param pricePerHour the price of the running VMs per hour
 * @param enginesAsWanted the number of engines in the desired state
 * @param vms the running VMs by kind
 */
record StatusDocument(String process, String dataCenter, @Nullable Long fence, double surviving, double pricePerHour,
		int enginesAsWanted, List<Vms> vms) {

	private static final ObjectMapper mapper = new ObjectMapper();

	static StatusDocument of(Incarnation self, String dataCenter, PlannerSystem system) {
		OptionalLong fence = system.fence();
		return new StatusDocument(self.toString(), dataCenter, fence.isPresent() ? fence.getAsLong() : null,
				system.surviving(), system.pricePerHour(), system.enginesInDesiredState(),
				system.running().entrySet().stream().map(Vms::of).toList());
	}

	String toJson() {
		try {
			return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(this) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Cannot write the status as JSON", ex);
		}
	}

	/**
	 * The VMs of one kind.
	 *
	 * @param zone the zone
	 * @param machineClass the machine class
	 * @param reclaimable whether the platform may reclaim them
	 * @param count the number of running VMs
	 */
	record Vms(String zone, String machineClass, boolean reclaimable, int count) {

		static Vms of(Map.Entry<VmKind, Integer> entry) {
			VmKind kind = entry.getKey();
			return new Vms(kind.zone().value(), kind.machineClass().value(), kind.reclaimable(), entry.getValue());
		}

	}

}
