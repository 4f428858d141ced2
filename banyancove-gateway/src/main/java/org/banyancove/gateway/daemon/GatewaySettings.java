package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.exchange.RetryLimits;
import org.banyancove.gateway.rollout.ExposureLimits;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a gateway.
 *
 * @param name the VM's name, unique among gateways
 * @param zone its data centre
 * @param callers where it listens for callers
 * @param readiness where it reports whether it accepts requests
 * @param metrics where it serves metrics, or {@code null}
 * @param peers where it listens for the other gateways
 * @param retryLimits what all gateways may send again
 * @param lease the length of the lease of the shared duties
 * @param usageWindow the length of a window of the usage report
 * @param reportsUsage whether usage is to be reported
 * @param ordersEndpoints whether endpoints are to be ordered
 * @param stopTime from the signal to stop to being killed
 * @param exposureLimits how many requests an unproven version may get
 * @param processorShare the VM's processor share, in cores
 * @param changeDeadline the time within which a change in the store must be in force
 */
public record GatewaySettings(String name, DataCenterName zone, InetSocketAddress callers, InetSocketAddress readiness,
		@Nullable InetSocketAddress metrics, InetSocketAddress peers, RetryLimits retryLimits, Duration lease,
		Duration usageWindow, boolean reportsUsage, boolean ordersEndpoints, Duration stopTime,
		ExposureLimits exposureLimits, double processorShare, Duration changeDeadline) {

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
