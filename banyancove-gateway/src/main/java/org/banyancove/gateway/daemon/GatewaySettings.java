package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.retry.RetryLimits;
import org.banyancove.gateway.rollout.ExposureLimits;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a gateway.
 *
 * @param name the name of the VM, unique among gateways
 * @param dataCenter the data centre of the VM
 * @param callers the address for connections of callers
 * @param readiness the address of the readiness check
 * @param metrics the address of the metrics, or {@code null} for none
 * @param peers the address for datagrams of other gateways
 * @param retryLimits the limits of retries of the whole fleet
 * @param lease the duration of the lease of the shared duties
 * @param usageWindow the length of a window of the usage report
 * @param reportsUsage whether this gateway may report usage
 * @param ordersEndpoints whether this gateway may order endpoints
 * @param shutdownTimeout the time from the termination signal to the forced termination
 * @param exposureLimits the limits of requests to an unproven version
 * @param processorShare the processor share of the VM, in cores
 * @param changeDeadline the time within which a change in the store must be in force
 */
public record GatewaySettings(String name, DataCenterName dataCenter, InetSocketAddress callers,
		InetSocketAddress readiness, @Nullable InetSocketAddress metrics, InetSocketAddress peers,
		RetryLimits retryLimits, Duration lease, Duration usageWindow, boolean reportsUsage, boolean ordersEndpoints,
		Duration shutdownTimeout, ExposureLimits exposureLimits, double processorShare, Duration changeDeadline) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if {@code name} is blank, or
	 * {@code processorShare} or {@code changeDeadline} is not positive
	 */
	public GatewaySettings {
		if (name.isBlank()) {
			throw new IllegalArgumentException("name must not be blank: '" + name + "'");
		}
		if (!(processorShare > 0)) {
			throw new IllegalArgumentException("processorShare must be positive: " + processorShare);
		}
		if (!changeDeadline.isPositive()) {
			throw new IllegalArgumentException("changeDeadline must be positive: " + changeDeadline);
		}
	}

}
