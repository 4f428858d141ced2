package org.banyancove.planner;

import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.planner.PlannerSystem;
import org.banyancove.program.TickLoop;

/**
 * Registers the metrics that are read from the planner's state on each scrape.
 */
final class PlannerMetrics {

	private final PlannerSystem system;

	private final TickLoop loop;

	private final FailureCounters failures;

	PlannerMetrics(PlannerSystem system, TickLoop loop, FailureCounters failures) {
		this.system = system;
		this.loop = loop;
		this.failures = failures;
	}

	void register(PrometheusRegistry registry, double target) {
		gauge(registry, "banyancove_planner_lease_held", "1 while this process may plan, else 0",
				(system) -> system.fence().isPresent() ? 1 : 0);
		gauge(registry, "banyancove_planner_fence", "The fencing number it acts under, -1 for none",
				(system) -> system.fence().orElse(-1));
		gauge(registry, "banyancove_planner_target_capacity", "The capacity wanted after the loss of a zone",
				(_) -> target);
		gauge(registry, "banyancove_planner_surviving_capacity",
				"What would be left of the running capacity after the loss of the largest zone",
				PlannerSystem::surviving);
		gauge(registry, "banyancove_planner_price_per_hour", "What the running VMs cost an hour",
				PlannerSystem::pricePerHour);
		gauge(registry, "banyancove_planner_engines_as_wanted", "Engines last read to hold what they should",
				PlannerSystem::enginesInDesiredState);
		GaugeWithCallback.builder()
			.name("banyancove_planner_vms")
			.help("Bought VMs that run, as last listed")
			.labelNames("zone", "machine_class", "reclaimable")
			.callback((callback) -> this.loop.read(this.system::running)
				.forEach((kind, count) -> callback.call(count, kind.zone().value(), kind.machineClass().value(),
						String.valueOf(kind.reclaimable()))))
			.register(registry);
		CounterWithCallback.builder()
			.name("banyancove_planner_invariant_violations_total")
			.help("Promises that would have been broken")
			.callback((callback) -> callback.call((double) this.failures.invariantViolations()))
			.register(registry);
		CounterWithCallback.builder()
			.name("banyancove_planner_failed_events_total")
			.help("Events whose handling failed")
			.callback((callback) -> callback.call((double) this.failures.failedEvents()))
			.register(registry);
	}

	private void gauge(PrometheusRegistry registry, String name, String help, ToDoubleFunction<PlannerSystem> value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(this.loop.read(() -> value.applyAsDouble(this.system))))
			.register(registry);
	}

}
