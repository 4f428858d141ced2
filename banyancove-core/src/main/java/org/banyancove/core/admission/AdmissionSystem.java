package org.banyancove.core.admission;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.routing.EndpointTable;

/**
 * Admits requests while the endpoints of their service have free capacity within their
 * adaptive concurrency limits, queues a bounded number, and immediately refuses requests
 * whose wait would be too long.
 * <p>
 * An admitted request occupies a slot until {@link #released}, across all its attempts.
 * Confined to the tick loop; not thread-safe.
 */
public final class AdmissionSystem {

	private final EndpointTable table;

	private final InstantSource clock;

	private final Map<ServiceName, ServiceQueue> services = new HashMap<>();

	/**
	 * Creates the system.
	 * @param table the endpoints, whose limits determine the capacity
	 * @param clock the clock
	 */
	public AdmissionSystem(EndpointTable table, InstantSource clock) {
		this.table = table;
		this.clock = clock;
	}

	/**
	 * Decides on a new request.
	 * @param request the request
	 * @return whether the request is admitted, waits or is refused
	 */
	public AdmissionDecision offer(AdmissionRequest request) {
		Instant now = this.clock.instant();
		if (this.table.liveCount(request.service()) == 0) {
			return new AdmissionDecision.Refused(request.request(), ErrorKind.NO_ENDPOINT,
					this.table.retryAfterNoEndpoint(request.service(), request.profile(), now));
		}
		ServiceQueue queue = queue(request.service());
		queue.capacityKnown(this.table.isCapacityKnown(request.service()));
		return queue.offer(request, freeSlots(request.service(), queue), this.table.meanFirstToken(request.service()),
				now);
	}

	/**
	 * Releases the slot of an admitted request that has ended.
	 * @param service the service
	 * @param request the request
	 * @return the decisions on waiting requests
	 */
	public List<AdmissionDecision> released(ServiceName service, RequestId request) {
		Instant now = this.clock.instant();
		ServiceQueue queue = queue(service);
		queue.release(request, now);
		return queue.dispatch(freeSlots(service, queue), now);
	}

	/**
	 * Removes a waiting request that its caller has cancelled.
	 * @param service the service
	 * @param request the request
	 */
	public void cancelled(ServiceName service, RequestId request) {
		queue(service).cancel(request);
	}

	/**
	 * Reevaluates waiting requests, since endpoints may have been added or removed,
	 * limits may have changed, and deadlines may have expired.
	 * @return the decisions on waiting requests
	 */
	public List<AdmissionDecision> tick() {
		Instant now = this.clock.instant();
		List<AdmissionDecision> decisions = new ArrayList<>();
		this.services.forEach((service, queue) -> {
			int freeSlots = freeSlots(service, queue);
			decisions.addAll(queue.expire(freeSlots, now));
			decisions.addAll(queue.dispatch(freeSlots, now));
		});
		return decisions;
	}

	/**
	 * Returns the number of running requests of a service.
	 * @param service the service
	 * @return the number of requests
	 */
	public int runningCount(ServiceName service) {
		return queue(service).runningCount();
	}

	/**
	 * Returns the number of running requests of an account at a service.
	 * @param service the service
	 * @param account the account
	 * @return the number of requests
	 */
	public int runningCount(ServiceName service, AccountName account) {
		return queue(service).runningOf(account);
	}

	/**
	 * Returns the number of waiting requests of a service.
	 * @param service the service
	 * @return the number of requests
	 */
	public int waitingCount(ServiceName service) {
		return queue(service).waitingCount();
	}

	private int freeSlots(ServiceName service, ServiceQueue queue) {
		// Slots stay reserved for admitted requests that have not been sent to an
		// endpoint yet or are between two attempts.
		int reserved = Math.max(0, queue.runningCount() - this.table.ownInFlight(service));
		return (int) Math.floor(this.table.freeCapacity(service)) - reserved;
	}

	private ServiceQueue queue(ServiceName service) {
		return this.services.computeIfAbsent(service, (name) -> new ServiceQueue());
	}

}
