package org.banyancove.standins.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;

/**
 * The options of a {@link PlatformStandin}.
 *
 * @param address the address to listen on
 * @param vms the initially listed VMs
 * @param listLag the time until a change of the VM list becomes visible
 * @param retention the retention period of log records
 * @param appendsPerSecond the log's limit of appends per second, over all streams
 * @param weightLoadsPerSecond the weight store's limit of loads per second
 * @param prices the prices of the cloud API
 * @param listeners the names of additional listeners, for example one per data centre
 * @param clock the clock
 */
public record PlatformOptions(InetSocketAddress address, List<VmDescription> vms, Duration listLag, Duration retention,
		double appendsPerSecond, double weightLoadsPerSecond, List<Price> prices, List<String> listeners,
		InstantSource clock) {

	/**
	 * Creates the options with copies of the lists.
	 */
	public PlatformOptions {
		vms = List.copyOf(vms);
		prices = List.copyOf(prices);
		listeners = List.copyOf(listeners);
	}

	/**
	 * Returns options for a platform without VMs on an ephemeral loopback port.
	 * @return the options
	 */
	public static PlatformOptions defaults() {
		return new PlatformOptions(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), List.of(),
				Duration.ofSeconds(2), Duration.ofDays(1), 300, 1, List.of(), List.of(), InstantSource.system());
	}

	/**
	 * Returns these options with another address.
	 * @param value the address
	 * @return the options
	 */
	public PlatformOptions withAddress(InetSocketAddress value) {
		return new PlatformOptions(value, this.vms, this.listLag, this.retention, this.appendsPerSecond,
				this.weightLoadsPerSecond, this.prices, this.listeners, this.clock);
	}

	/**
	 * Returns these options with other VMs.
	 * @param value the VMs
	 * @return the options
	 */
	public PlatformOptions withVms(List<VmDescription> value) {
		return new PlatformOptions(this.address, value, this.listLag, this.retention, this.appendsPerSecond,
				this.weightLoadsPerSecond, this.prices, this.listeners, this.clock);
	}

	/**
	 * Returns these options with another list lag and retention.
	 * @param lag the lag of the VM list
	 * @param retentionPeriod the retention period of log records
	 * @return the options
	 */
	public PlatformOptions withListLagAndRetention(Duration lag, Duration retentionPeriod) {
		return new PlatformOptions(this.address, this.vms, lag, retentionPeriod, this.appendsPerSecond,
				this.weightLoadsPerSecond, this.prices, this.listeners, this.clock);
	}

	/**
	 * Returns these options with other rates.
	 * @param appends the log's limit of appends per second
	 * @param weightLoads the weight store's limit of loads per second
	 * @return the options
	 */
	public PlatformOptions withRates(double appends, double weightLoads) {
		return new PlatformOptions(this.address, this.vms, this.listLag, this.retention, appends, weightLoads,
				this.prices, this.listeners, this.clock);
	}

	/**
	 * Returns these options with other prices.
	 * @param value the prices
	 * @return the options
	 */
	public PlatformOptions withPrices(List<Price> value) {
		return new PlatformOptions(this.address, this.vms, this.listLag, this.retention, this.appendsPerSecond,
				this.weightLoadsPerSecond, value, this.listeners, this.clock);
	}

	/**
	 * Returns these options with other additional listeners.
	 * @param value the names of the listeners
	 * @return the options
	 */
	public PlatformOptions withListeners(List<String> value) {
		return new PlatformOptions(this.address, this.vms, this.listLag, this.retention, this.appendsPerSecond,
				this.weightLoadsPerSecond, this.prices, value, this.clock);
	}

	/**
	 * Returns these options with another clock.
	 * @param value the clock
	 * @return the options
	 */
	public PlatformOptions withClock(InstantSource value) {
		return new PlatformOptions(this.address, this.vms, this.listLag, this.retention, this.appendsPerSecond,
				this.weightLoadsPerSecond, this.prices, this.listeners, value);
	}

}
