package org.banyancove.planner;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.planner.OrderResult;
import org.banyancove.core.planner.StartResult;
import org.banyancove.core.planner.VmKind;
import org.banyancove.platform.AppendResult;

/**
 * Counts the results of the planner's commands. Thread-safe.
 */
final class PlannerCounters {

	private static final String RESULT = "result";

	private final Counter starts;

	private final Counter stops;

	private final Counter orders;

	private final Counter lists;

	private final Counter appends;

	PlannerCounters(PrometheusRegistry registry) {
		this.starts = counter(registry, "banyancove_planner_starts_total", "Answers to starts of VMs", "zone",
				"machine_class", RESULT);
		this.stops = counter(registry, "banyancove_planner_stops_total", "Answers to VMs given back", RESULT);
		this.orders = counter(registry, "banyancove_planner_orders_total", "Answers to orders to engines", RESULT);
		this.lists = counter(registry, "banyancove_planner_lists_total", "Answers to lists of the bought VMs", RESULT);
		this.appends = counter(registry, "banyancove_planner_lease_appends_total",
				"Answers to appends to the stream of leases", RESULT);
	}

	void recordStart(VmKind kind, StartResult result) {
		String name = switch (result) {
			case StartResult.Started _ -> "started";
			case StartResult.Refused _ -> "refused";
			case StartResult.Unanswered _ -> "unanswered";
		};
		this.starts.labelValues(kind.zone().value(), kind.machineClass().value(), name).inc();
	}

	void recordStop(boolean answered) {
		this.stops.labelValues(resultLabel(answered)).inc();
	}

	void recordOrder(OrderResult result) {
		String name = switch (result) {
			case OrderResult.ReadBack _ -> "read_back";
			case OrderResult.Fenced _ -> "fenced";
			case OrderResult.StoreBusy _ -> "store_busy";
			case OrderResult.Unanswered _ -> "sent";
		};
		this.orders.labelValues(name).inc();
	}

	void recordList(boolean answered) {
		this.lists.labelValues(resultLabel(answered)).inc();
	}

	void recordAppend(AppendResult result) {
		String name = switch (result) {
			case AppendResult.Appended _ -> "appended";
			case AppendResult.Refused _ -> "refused";
			case AppendResult.Unanswered _ -> "unanswered";
		};
		this.appends.labelValues(name).inc();
	}

	private static String resultLabel(boolean answered) {
		return answered ? "answered" : "unanswered";
	}

	private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
	}

}
