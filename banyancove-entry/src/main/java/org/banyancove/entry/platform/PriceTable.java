package org.banyancove.entry.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.banyancove.core.MachineClass;
import org.banyancove.core.ZoneName;
import org.banyancove.platform.CloudClient;
import org.banyancove.platform.VmPrice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last known prices of VMs. Thread-safe.
 */
public final class PriceTable {

	private static final Logger logger = LoggerFactory.getLogger(PriceTable.class);

	/** The price assumed for every VM until its price is known. */
	private static final double DEFAULT_PRICE_PER_HOUR = 1;

	private static final long REFRESH_INTERVAL_SECONDS = 60;

	private final Map<PriceKey, Double> perHour = new ConcurrentHashMap<>();

	private final CloudClient cloud;

	/**
	 * Creates the table.
	 * @param cloud the platform's cloud API
	 */
	public PriceTable(CloudClient cloud) {
		this.cloud = cloud;
	}

	/**
	 * Starts to poll the prices.
	 * @param timer schedules the reads
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::refresh, 0, REFRESH_INTERVAL_SECONDS, TimeUnit.SECONDS);
	}

	double perHour(ZoneName zone, MachineClass machineClass) {
		return this.perHour.getOrDefault(new PriceKey(zone, machineClass), DEFAULT_PRICE_PER_HOUR);
	}

	private void refresh() {
		this.cloud.prices().whenComplete((prices, failure) -> {
			if (failure != null) {
				logger.debug("Failed to read the VM prices", failure);
				return;
			}
			prices.stream().filter(VmPrice::reclaimable).forEach(this::put);
		});
	}

	private void put(VmPrice price) {
		this.perHour.put(new PriceKey(price.zone(), price.machineClass()), price.perHour());
	}

	/**
	 * The zone and machine class that a price applies to.
	 */
	private record PriceKey(ZoneName zone, MachineClass machineClass) {

	}

}
