package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.admission.RetryAfterRule;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.waiting.DrainRate;
import org.banyancove.gateway.waiting.OfferResult;
import org.banyancove.gateway.waiting.RejectionReason;
import org.banyancove.gateway.waiting.WaitingCapacity;
import org.banyancove.gateway.waiting.WaitingQueue;
import org.banyancove.gateway.waiting.WaitingRequest;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait for an endpoint, by service, and when their queues are checked.
 */
public final class RequestQueues {

	/** The interval at which the queues are checked while requests wait. */
	private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final RequestLog requestLog;

	private final WaitingCapacity capacity = new WaitingCapacity();

	private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();

	private final IdentityHashMap<WaitingRequest, RequestPlacement> placements = new IdentityHashMap<>();

	private boolean checkPending;

	private boolean timerStarted;

	private boolean closed;

	RequestQueues(EventLoop eventLoop, MonotonicClock clock, RequestLog requestLog) {
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.requestLog = requestLog;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number, of all services
	 */
	public int size() {
		return this.capacity.entries();
	}

	/**
	 * Returns the size of the bodies of the waiting requests.
	 * @return the bytes, of all services
	 */
	public long bytes() {
		return this.capacity.bytes();
	}

	/**
	 * Rejects the waiting requests, as not run, and those that would have to wait from
	 * now on.
	 */
	public void close() {
		this.closed = true;
		List.copyOf(this.placements.keySet()).forEach((request) -> reject(request, RejectionReason.SHUTDOWN));
	}

	/**
	 * Checks soon whether waiting requests can be sent, since an endpoint may have room.
	 */
	public void check() {
		if (!this.placements.isEmpty() && !this.checkPending) {
			this.checkPending = true;
			// A check within the callback of another request's connection would nest.
			this.eventLoop.execute(this::checkNow);
		}
	}

	boolean isEmpty(ServiceName service) {
		ServiceQueue queue = this.queues.get(service);
		return queue == null || queue.waiting().size() == 0;
	}

	/**
	 * Lets a request wait, or rejects it.
	 * @param service its service
	 * @param request the request
	 * @param placement called when the request is first in the queue, or rejected
	 */
	void offer(ServiceName service, WaitingRequest request, RequestPlacement placement) {
		ServiceQueue queue = queue(service);
		if (this.closed) {
			rejected(service, request, placement, RejectionReason.SHUTDOWN, queue.retryAfter(request, now()));
			return;
		}
		switch (queue.waiting().offer(request, queue.drainRate().millisPerSecond(now()), now())) {
			case OfferResult.Queued _ -> {
				this.placements.put(request, placement);
				check();
				startTimer();
			}
			case OfferResult.Rejected rejected ->
				rejected(service, request, placement, rejected.reason(), rejected.retryAfter());
		}
	}

	/**
	 * Records that a request is sent, from the queue or past it.
	 * @param service its service
	 * @param request the request
	 */
	void started(ServiceName service, WaitingRequest request) {
		ServiceQueue queue = queue(service);
		queue.waiting().started(request);
		queue.drainRate().record(request.workMillis(), now());
		if (this.placements.remove(request) != null) {
			report(service, request, "sent", null);
		}
	}

	/**
	 * Removes a request that has ended while it was waiting.
	 * @param service its service
	 * @param request the request
	 */
	void remove(ServiceName service, WaitingRequest request) {
		if (this.placements.remove(request) != null) {
			queue(service).waiting().remove(request);
			report(service, request, "left", null);
		}
	}

	/**
	 * Records that a request that may not wait is rejected since it would be late.
	 * @param service its service
	 * @param request the request
	 * @param minimum the time until its prediction meets its target
	 * @return the time after which the caller may retry
	 */
	Duration rejectedLate(ServiceName service, WaitingRequest request, Duration minimum) {
		ServiceQueue queue = queue(service);
		Duration retryAfter = queue.retryAfterRule()
			.next(minimum, request.workMillis(), queue.drainRate().millisPerSecond(now()), now());
		report(service, request, name(RejectionReason.PREDICTED_LATE), retryAfter);
		return retryAfter;
	}

	private void checkNow() {
		this.checkPending = false;
		// A rejection may start the caller's next request, of a service without a queue.
		for (Map.Entry<ServiceName, ServiceQueue> entry : new ArrayList<>(this.queues.entrySet())) {
			checkNow(entry.getKey(), entry.getValue().waiting());
		}
	}

	private void checkNow(ServiceName service, WaitingQueue waiting) {
		for (WaitingRequest expired : waiting.removeExpired(now())) {
			rejectRemoved(service, expired, RejectionReason.EXPIRED);
		}
		WaitingRequest first = waiting.peek(now());
		while (first != null && placement(first).startWaiting(first)) {
			first = waiting.peek(now());
		}
	}

	private RequestPlacement placement(WaitingRequest request) {
		return Objects.requireNonNull(this.placements.get(request));
	}

	private void reject(WaitingRequest request, RejectionReason reason) {
		ServiceName service = placement(request).service();
		queue(service).waiting().remove(request);
		rejectRemoved(service, request, reason);
	}

	private void rejectRemoved(ServiceName service, WaitingRequest request, RejectionReason reason) {
		RequestPlacement placement = placement(request);
		this.placements.remove(request);
		rejected(service, request, placement, reason, queue(service).retryAfter(request, now()));
	}

	private void rejected(ServiceName service, WaitingRequest request, RequestPlacement placement,
			RejectionReason reason, Duration retryAfter) {
		report(service, request, name(reason), retryAfter);
		placement.reject(reason, retryAfter);
	}

	private static String name(RejectionReason reason) {
		return reason.name().toLowerCase(Locale.ROOT);
	}

	private void report(ServiceName service, WaitingRequest request, String outcome, @Nullable Duration retryAfter) {
		this.requestLog.waitingEnded(new RequestLog.WaitedRequest(request.id(), service, outcome,
				Duration.ofNanos(now() - request.arrivedAt()), retryAfter, size()));
	}

	private void startTimer() {
		if (!this.timerStarted && !this.placements.isEmpty()) {
			this.timerStarted = true;
			this.eventLoop.schedule(this::timerFired, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void timerFired() {
		this.timerStarted = false;
		try {
			checkNow();
		}
		finally {
			startTimer();
		}
	}

	private ServiceQueue queue(ServiceName service) {
		return this.queues.computeIfAbsent(service, (name) -> {
			RetryAfterRule retryAfterRule = new RetryAfterRule();
			return new ServiceQueue(new WaitingQueue(this.capacity, retryAfterRule), new DrainRate(now()),
					retryAfterRule);
		});
	}

	private long now() {
		return this.clock.nanos();
	}

	private record ServiceQueue(WaitingQueue waiting, DrainRate drainRate, RetryAfterRule retryAfterRule) {

		Duration retryAfter(WaitingRequest request, long now) {
			return this.waiting.retryAfter(request, this.drainRate.millisPerSecond(now), now);
		}

	}

}
