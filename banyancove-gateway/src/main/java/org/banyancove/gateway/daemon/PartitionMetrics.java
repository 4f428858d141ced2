package org.banyancove.gateway.daemon;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.EndpointPartition;
import org.banyancove.gateway.endpoint.RequestClass;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports how the endpoints of services are divided between classes of requests.
 */
final class PartitionMetrics {

	private static final Logger log = LoggerFactory.getLogger(PartitionMetrics.class);

	private final Gauge shares;

	private final Map<ServiceName, Map<RequestClass, Double>> reported = new HashMap<>();

	PartitionMetrics(PrometheusRegistry registry) {
		this.shares = Gauge.builder()
			.withoutExemplars()
			.name("banyancove_endpoint_share")
			.help("Share of a service's endpoints that a class of requests prefers")
			.labelNames("service", "class")
			.register(registry);
	}

	/**
	 * Reports the present shares and logs each change.
	 * @param partitions the divisions by service
	 */
	void report(Map<ServiceName, EndpointPartition> partitions) {
		partitions.forEach((service, partition) -> {
			if (partition.slowdownAnnounced()) {
				report(service, partition.shares());
			}
		});
	}

	private void report(ServiceName service, Map<RequestClass, Double> current) {
		if (current.equals(this.reported.put(service, current))) {
			return;
		}
		current.forEach((requestClass, share) -> this.shares
			.labelValues(service.value(), requestClass.name().toLowerCase(Locale.ROOT))
			.set(share));
		log.atInfo()
			.addKeyValue("service", service.value())
			.addKeyValue("shortestTarget", current.get(RequestClass.SHORTEST_TARGET))
			.addKeyValue("longerTarget", current.get(RequestClass.LONGER_TARGET))
			.addKeyValue("largePrompt", current.get(RequestClass.LARGE_PROMPT))
			.log("endpoint shares changed");
	}

}
