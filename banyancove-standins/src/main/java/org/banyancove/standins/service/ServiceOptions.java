package org.banyancove.standins.service;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The options of a {@link ServiceStandin}.
 *
 * @param address the address to listen on
 * @param id the endpoint's identifier
 * @param service the service's name
 * @param latency the duration of each call
 */
public record ServiceOptions(InetSocketAddress address, String id, String service, Duration latency) {

	/**
	 * Returns options for a service with 1 ms latency on an ephemeral loopback port.
	 * @return the options
	 */
	public static ServiceOptions defaults() {
		return new ServiceOptions(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "service-1", "orders",
				Duration.ofMillis(1));
	}

	/**
	 * Returns these options with another address.
	 * @param value the address
	 * @return the options
	 */
	public ServiceOptions withAddress(InetSocketAddress value) {
		return new ServiceOptions(value, this.id, this.service, this.latency);
	}

	/**
	 * Returns these options with other names.
	 * @param endpoint the endpoint's identifier
	 * @param name the service's name
	 * @return the options
	 */
	public ServiceOptions withNames(String endpoint, String name) {
		return new ServiceOptions(this.address, endpoint, name, this.latency);
	}

	/**
	 * Returns these options with another latency.
	 * @param value the latency
	 * @return the options
	 */
	public ServiceOptions withLatency(Duration value) {
		return new ServiceOptions(this.address, this.id, this.service, value);
	}

}
