package org.banyancove.gateway.waiting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

import org.banyancove.gateway.admission.RetryAfterRule;
import org.jspecify.annotations.Nullable;

/**
 * The requests of a service that wait at this gateway for an endpoint.
 * <p>
 * The first request is the one with the highest priority, then of the account that has
 * been served least in proportion to its quota, then with the earliest latest start. An
 * account that returns is lifted to the lowest of those that wait, so that it cannot save
 * up what it did not use ("Fairness in serving large language models", OSDI 2024). A
 * request is rejected at once if the work ahead of it ends after its latest start.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
public final class WaitingQueue {

	/** Accounts beyond which those that no longer differ from a new one are forgotten. */
	private static final int MAXIMUM_IDLE_ACCOUNTS = 256;

	/** Key of the account of anonymous requests; account names are not empty. */
	private static final String ANONYMOUS = "";

	private final WaitingCapacity capacity;

	private final RetryAfterRule retryAfterRule;

	private final Map<String, ServedAccount> accounts = new HashMap<>();

	private final IdentityHashMap<WaitingRequest, WaitingEntry> entries = new IdentityHashMap<>();

	private final NavigableMap<Integer, PriorityLevel> levels = new TreeMap<>();

	private final NavigableSet<WaitingEntry> byLatestStart = new TreeSet<>(WaitingEntry.EARLIEST_LATEST_START);

	private double leastServed;

	private long sequence;

	private long bytes;

	/**
	 * Creates an empty queue.
	 * @param capacity the capacity that it shares with the gateway's other queues
	 * @param retryAfterRule derives the times of rejected requests
	 */
	public WaitingQueue(WaitingCapacity capacity, RetryAfterRule retryAfterRule) {
		this.capacity = capacity;
		this.retryAfterRule = retryAfterRule;
	}

	/**
	 * Adds a request, unless it is predicted to start too late or no room is left.
	 * @param request the request
	 * @param drainRate the engine time of the requests started per second, in ms; 0 if it
	 * is unknown
	 * @param now the current time
	 * @return whether it waits or is rejected
	 * @throws IllegalArgumentException if {@code drainRate} is negative or the request
	 * waits already
	 */
	public OfferResult offer(WaitingRequest request, double drainRate, long now) {
		if (!(drainRate >= 0)) {
			throw new IllegalArgumentException("drainRate must not be negative: " + drainRate);
		}
		if (this.entries.containsKey(request)) {
			throw new IllegalArgumentException("request must not wait already: " + request);
		}
		Duration wait = expectedWait(request, drainRate);
		if (request.expired(now)) {
			return rejected(RejectionReason.EXPIRED, request, drainRate, now);
		}
		if (request.expired(now + wait.toNanos())) {
			return rejected(RejectionReason.PREDICTED_LATE, request, drainRate, now);
		}
		if (!this.capacity.tryReserve(request.bytes())) {
			return rejected(RejectionReason.QUEUE_FULL, request, drainRate, now);
		}
		add(request);
		return new OfferResult.Queued(wait);
	}

	private OfferResult rejected(RejectionReason reason, WaitingRequest request, double drainRate, long now) {
		return new OfferResult.Rejected(reason, retryAfter(request, drainRate, now));
	}

	/**
	 * Returns the time after which the caller of a rejected request may retry. Each call
	 * yields a later time, so that callers do not return together.
	 * @param request the request
	 * @param drainRate the engine time of the requests started per second, in ms; 0 if it
	 * is unknown
	 * @param now the current time
	 * @return the time
	 */
	public Duration retryAfter(WaitingRequest request, double drainRate, long now) {
		return this.retryAfterRule.next(expectedWait(request, drainRate), request.workMillis(), drainRate, now);
	}

	private Duration expectedWait(WaitingRequest request, double drainRate) {
		double ahead = workAheadMillis(request);
		return (drainRate > 0 && ahead > 0) ? Duration.ofNanos((long) (Math.min(ahead / drainRate, 3600) * 1e9))
				: Duration.ZERO;
	}

	/**
	 * Returns the work of the waiting requests that are started before another one.
	 * @param request the request, which need not wait
	 * @return the engine time in ms
	 */
	public double workAheadMillis(WaitingRequest request) {
		double ahead = 0;
		for (PriorityLevel higher : this.levels.headMap(request.priority()).values()) {
			ahead += higher.workMillis();
		}
		PriorityLevel level = this.levels.get(request.priority());
		if (level == null) {
			return ahead;
		}
		ServedAccount account = this.accounts.get(key(request));
		AccountQueue own = (account != null) ? account.queues().get(request.priority()) : null;
		double served = (account != null) ? Math.max(account.served(), leastServed()) : leastServed();
		if (own != null) {
			ahead += own.workUntil(request.latestStartAt());
			served += own.quotaSecondsUntil(request.latestStartAt());
		}
		return ahead + level.workUntilServed(account, served);
	}

	private double leastServed() {
		double least = Double.POSITIVE_INFINITY;
		for (PriorityLevel level : this.levels.values()) {
			least = Math.min(least, level.leastServed());
		}
		return this.levels.isEmpty() ? this.leastServed : least;
	}

	private static String key(WaitingRequest request) {
		return (request.account() != null) ? request.account().value() : ANONYMOUS;
	}

	private ServedAccount account(WaitingRequest request) {
		ServedAccount account = this.accounts.get(key(request));
		if (account == null) {
			if (this.accounts.size() >= MAXIMUM_IDLE_ACCOUNTS) {
				double least = leastServed();
				this.accounts.values().removeIf((idle) -> !idle.waits() && idle.served() <= least);
			}
			account = new ServedAccount(this.sequence++);
			this.accounts.put(key(request), account);
		}
		if (!account.waits()) {
			account.lift(leastServed());
		}
		return account;
	}

	private void add(WaitingRequest request) {
		ServedAccount account = account(request);
		WaitingEntry entry = new WaitingEntry(request, account, this.sequence++);
		this.entries.put(request, entry);
		this.byLatestStart.add(entry);
		this.bytes += request.bytes();
		AccountQueue queue = account.queues().get(request.priority());
		if (queue == null) {
			queue = new AccountQueue(account);
			account.queues().put(request.priority(), queue);
			this.levels.computeIfAbsent(request.priority(), (priority) -> new PriorityLevel()).add(queue);
		}
		queue.add(entry);
	}

	/**
	 * Returns the request to start next.
	 * @param now the current time
	 * @return the first request whose latest start has not passed, or {@code null}
	 */
	public @Nullable WaitingRequest peek(long now) {
		for (PriorityLevel level : this.levels.values()) {
			WaitingRequest first = level.first(now);
			if (first != null) {
				return first;
			}
		}
		return null;
	}

	/**
	 * Records that a request is sent to an endpoint, from the queue or past it.
	 * @param request the request
	 */
	public void started(WaitingRequest request) {
		remove(request);
		ServedAccount account = account(request);
		account.queues().forEach((priority, queue) -> level(priority).remove(queue));
		account.addServed(request.quotaSeconds());
		account.queues().forEach((priority, queue) -> level(priority).add(queue));
		if (this.levels.isEmpty()) {
			this.leastServed = account.served();
		}
	}

	/**
	 * Removes a request whose caller has left or that has ended.
	 * @param request the request
	 * @return whether it was waiting
	 */
	public boolean remove(WaitingRequest request) {
		WaitingEntry entry = this.entries.get(request);
		if (entry == null) {
			return false;
		}
		this.leastServed = leastServed();
		this.entries.remove(request);
		this.byLatestStart.remove(entry);
		this.bytes -= request.bytes();
		this.capacity.release(request.bytes());
		ServedAccount account = entry.account();
		AccountQueue queue = queue(account, request.priority());
		queue.remove(entry);
		if (queue.isEmpty()) {
			account.queues().remove(request.priority());
			removeFromLevel(queue, request.priority());
		}
		return true;
	}

	private void removeFromLevel(AccountQueue queue, int priority) {
		PriorityLevel level = level(priority);
		level.remove(queue);
		if (level.isEmpty()) {
			this.levels.remove(priority);
		}
	}

	private PriorityLevel level(int priority) {
		return Objects.requireNonNull(this.levels.get(priority));
	}

	private static AccountQueue queue(ServedAccount account, int priority) {
		return Objects.requireNonNull(account.queues().get(priority));
	}

	/**
	 * Removes the requests whose latest start has passed.
	 * @param now the current time
	 * @return the removed requests, the earliest latest start first
	 */
	public List<WaitingRequest> removeExpired(long now) {
		List<WaitingRequest> expired = new ArrayList<>();
		while (!this.byLatestStart.isEmpty() && this.byLatestStart.first().request().expired(now)) {
			WaitingRequest request = this.byLatestStart.first().request();
			remove(request);
			expired.add(request);
		}
		return expired;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the size of the bodies of the waiting requests.
	 * @return the bytes
	 */
	public long bytes() {
		return this.bytes;
	}

}
