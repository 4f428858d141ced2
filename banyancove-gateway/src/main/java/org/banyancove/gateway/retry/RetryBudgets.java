package org.banyancove.gateway.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

import org.banyancove.core.ServiceName;

/**
 * The retry budgets of all services at one gateway.
 * <p>
 * The burst is shared by the gateways that the store lists, whether they are heard or
 * not. Times are in nanoseconds of the monotonic clock.
 */
public final class RetryBudgets {

	private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();

	private final RetryLimits limits;

	private final DoubleSupplier random;

	private int listedGateways;

	private long listedAt;

	private long listChangedAt;

	/**
	 * Creates the budgets.
	 * @param limits the limits of the fleet
	 * @param random supplies random numbers from 0 to below 1
	 * @param now the current time
	 */
	public RetryBudgets(RetryLimits limits, DoubleSupplier random, long now) {
		this.limits = limits;
		this.random = random;
		this.listChangedAt = now;
	}

	/**
	 * Updates the number of gateways and earns the share of the burst. Called at each
	 * tick.
	 * @param gateways the number of gateways that the store lists, including this one, or
	 * 0 if the list has not been read
	 * @param now the current time
	 */
	public void tick(int gateways, long now) {
		if (gateways != this.listedGateways) {
			this.listedAt = (this.listedGateways == 0) ? now : this.listedAt;
			this.listChangedAt = now;
			this.listedGateways = gateways;
		}
		this.budgets.values().forEach((budget) -> budget.accrueBurst(sharingGateways(now), now));
	}

	// While a fleet starts for the first time, the list is incomplete.
	private int sharingGateways(long now) {
		boolean settled = now - this.listedAt >= this.limits.window().toNanos();
		return settled ? this.listedGateways : 0;
	}

	/**
	 * Records a request, which earns a fraction of a retry.
	 * @param service its service
	 * @param now the current time
	 */
	public void recordRequest(ServiceName service, long now) {
		budget(service, now).recordRequest(now);
	}

	/**
	 * Takes a retry.
	 * @param service the service of the request
	 * @param now the current time
	 * @return whether it is granted
	 */
	public boolean tryAcquire(ServiceName service, long now) {
		return budget(service, now).tryAcquire(now);
	}

	/**
	 * Returns a granted retry that was not sent.
	 * @param service the service of the request
	 * @param now the current time
	 */
	public void release(ServiceName service, long now) {
		budget(service, now).release(now);
	}

	/**
	 * Returns the budget of a service.
	 * @param service the service
	 * @param now the current time
	 * @return the budget
	 */
	public ServiceRetryBudget budget(ServiceName service, long now) {
		return this.budgets.computeIfAbsent(service, (name) -> new ServiceRetryBudget(this.limits, this.random, now));
	}

	/**
	 * Returns the retries that are available for each service.
	 * @param now the current time
	 * @return the number of retries by service
	 */
	public Map<ServiceName, Integer> available(long now) {
		Map<ServiceName, Integer> available = new HashMap<>();
		this.budgets.forEach((service, budget) -> available.put(service, budget.available(now)));
		return available;
	}

	/**
	 * Returns the number of gateways that share the burst.
	 * @return the number, 0 if it is unknown
	 */
	public int listedGateways() {
		return this.listedGateways;
	}

	/**
	 * Returns the time for which that number has been known.
	 * @param now the current time
	 * @return the time
	 */
	public Duration listAge(long now) {
		return Duration.ofNanos(now - this.listChangedAt);
	}

}
