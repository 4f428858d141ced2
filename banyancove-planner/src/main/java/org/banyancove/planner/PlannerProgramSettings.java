package org.banyancove.planner;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.planner.EngineState;
import org.banyancove.core.planner.PlannerSettings;
import org.banyancove.program.SettingsKey;

/**
 * The settings file of a planner.
 *
 * @param process the identity of this process
 * @param status the status server
 * @param platform the connection to the platform
 * @param capacity the target capacity
 * @param machines the machine classes that may be bought
 * @param engines the desired state of each engine
 * @param pace the intervals and limits of the planner's actions
 */
public record PlannerProgramSettings(Identity process, Status status, Platform platform, Capacity capacity,
		List<Machine> machines, Engines engines, Pace pace) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if {@code machines} is empty or names a class
	 * twice
	 */
	public PlannerProgramSettings {
		if (machines.isEmpty()) {
			throw new IllegalArgumentException("machines must name at least one machine class");
		}
		Set<MachineClass> classes = new HashSet<>();
		for (Machine machine : machines) {
			if (!classes.add(machine.name())) {
				throw new IllegalArgumentException("machines names the class '" + machine.name() + "' twice");
			}
		}
		machines = List.copyOf(machines);
	}

	/**
	 * Returns the settings of the core.
	 * @return the planner settings
	 */
	PlannerSettings plannerSettings() {
		return new PlannerSettings(this.pace.lease, this.pace.listInterval, this.platform.timeout.multipliedBy(2),
				this.pace.orderInterval, this.pace.refusedStart, this.pace.startsInFlight, this.pace.loadsPerSecond,
				this.pace.loadBurst);
	}

	/**
	 * The identity of this process.
	 *
	 * @param vm the identifier of this VM
	 * @param dataCenter the data center to plan for
	 */
	public record Identity(@SettingsKey(meaning = "the platform's identifier of this VM") VmId vm,
			@SettingsKey(meaning = "the data center to plan for") DataCenterName dataCenter) {

	}

	/**
	 * The server of the health, metrics and status pages.
	 *
	 * @param address the address and port to listen on
	 */
	public record Status(@SettingsKey(
			meaning = "the address and port of /livez, /readyz, /metrics and /status, port 0 for a free one",
			defaultValue = "127.0.0.1:0") String address) {

	}

	/**
	 * The connection to the platform.
	 *
	 * @param address the platform's address
	 * @param timeout the timeout of one call
	 * @param readWait the long-polling timeout of a log read
	 * @param priceInterval the interval between reads of the prices
	 */
	public record Platform(@SettingsKey(meaning = "the platform's address") URI address,
			@SettingsKey(meaning = "the time for one answer of the platform or of an engine",
					defaultValue = "2s") Duration timeout,
			@SettingsKey(meaning = "how long a read of the log waits at the platform for new records",
					defaultValue = "5s") Duration readWait,
			@SettingsKey(meaning = "the time between reads of the cloud's prices",
					defaultValue = "1m") Duration priceInterval) {

	}

	/**
	 * The target capacity.
	 *
	 * @param target the capacity that remains after the loss of the largest zone
	 * @param service the service that VMs are bought for
	 * @param zones the data center's zones
	 */
	public record Capacity(
			@SettingsKey(meaning = "the capacity that remains when the largest zone is reclaimed at once",
					unit = "as machines.capacity") double target,
			@SettingsKey(meaning = "the service that VMs are bought for") ServiceName service,
			@SettingsKey(meaning = "the zones of the data center to buy in") List<ZoneName> zones) {

		/**
		 * Creates the settings.
		 * @throws IllegalArgumentException if the target is negative or there is no zone
		 */
		public Capacity {
			if (!(target >= 0)) {
				throw new IllegalArgumentException("target must not be negative: " + target);
			}
			if (zones.isEmpty()) {
				throw new IllegalArgumentException("zones must name at least one zone");
			}
			zones = List.copyOf(zones);
		}

	}

	/**
	 * A machine class that may be bought.
	 *
	 * @param name the machine class
	 * @param capacity the capacity of one VM, in the unit of {@link Capacity#target}
	 */
	public record Machine(@SettingsKey(meaning = "the machine class") MachineClass name,
			@SettingsKey(meaning = "what one VM of the class carries, such as tokens a second",
					unit = "any, the same everywhere") double capacity) {

		/**
		 * Creates the class.
		 * @throws IllegalArgumentException if the capacity is not positive
		 */
		public Machine {
			if (!(capacity > 0)) {
				throw new IllegalArgumentException("capacity of '" + name + "' must be positive: " + capacity);
			}
		}

	}

	/**
	 * The desired state of each engine.
	 *
	 * @param models the models, with versions
	 * @param adapters the adapters
	 * @param role the role
	 */
	public record Engines(
			@SettingsKey(meaning = "the models, with versions, that every engine should hold",
					defaultValue = "[]") List<String> models,
			@SettingsKey(meaning = "the adapters that every engine should hold",
					defaultValue = "[]") List<String> adapters,
			@SettingsKey(meaning = "the role of every engine", defaultValue = "mixed") String role) {

		EngineState desiredState() {
			return new EngineState(Set.copyOf(this.models), Set.copyOf(this.adapters), this.role);
		}

	}

	/**
	 * The intervals and limits of the planner's actions.
	 *
	 * @param lease the duration of the lease without a renewal
	 * @param listInterval the interval between lists of the VMs
	 * @param orderInterval the interval between reads of an engine's state
	 * @param refusedStart the mean initial delay after a refused start
	 * @param startsInFlight the maximum number of concurrent starts
	 * @param loadsPerSecond the rate limit of weight loads
	 * @param loadBurst the maximum burst of weight loads
	 */
	public record Pace(
			@SettingsKey(meaning = "how long the data center's lease lasts without a renewal",
					defaultValue = "15s") Duration lease,
			@SettingsKey(meaning = "the time between lists of the VMs that were bought",
					defaultValue = "5s") Duration listInterval,
			@SettingsKey(meaning = "the time between reads of an engine's state, and between repeats of an order",
					defaultValue = "5s") Duration orderInterval,
			@SettingsKey(meaning = "the mean delay after a first refused start; it doubles up to 16 times",
					defaultValue = "5s") Duration refusedStart,
			@SettingsKey(meaning = "how many starts may be unanswered at once", defaultValue = "16") int startsInFlight,
			@SettingsKey(meaning = "this data center's share of the weight store's rate", unit = "loads a second",
					defaultValue = "1.0") double loadsPerSecond,
			@SettingsKey(meaning = "how many loads of weights may begin at once", defaultValue = "4") int loadBurst) {

		/**
		 * Creates the settings.
		 * @throws IllegalArgumentException if a value is not positive
		 */
		public Pace {
			new PlannerSettings(lease, listInterval, listInterval, orderInterval, refusedStart, startsInFlight,
					loadsPerSecond, loadBurst);
		}

	}

}
