package org.banyancove.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.banyancove.core.AccountName;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * The running and waiting requests of a service, with fair queueing among its accounts.
 * <p>
 * Among the waiting accounts, the one with the lowest weighted usage is served first
 * (start-time fair queueing). An account that exceeds its share of the capacity is
 * skipped while another account within its share is waiting.
 */
final class ServiceQueue {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double MEAN_WEIGHT = 0.05;

	/**
	 * Share of the first-token target that requests may wait during sustained overload.
	 */
	private static final double OVERLOAD_WAIT_TARGET_SHARE = 0.5;

	/**
	 * Share of the first-token target available to the wait and the first token together.
	 */
	private static final double FIRST_TOKEN_TARGET_SHARE = 0.8;

	/**
	 * Share of the first-token target that requests may always wait; without it, released
	 * slots would stay unused.
	 */
	private static final double MINIMUM_WAIT_TARGET_SHARE = 0.1;

	private static final int MAXIMUM_WAITING_REQUESTS = 10_000;

	/** Bounds the cost of predicting a wait when very many accounts are waiting. */
	private static final int MAXIMUM_COUNTED_ACCOUNTS = 64;

	private static final double MINIMUM_RETRY_AFTER_SECONDS = 0.1;

	private final Map<AccountName, AccountQueue> accounts = new HashMap<>();

	private final TreeSet<AccountQueue> waitingAccounts = new TreeSet<>();

	private final Map<RequestId, Running> running = new HashMap<>();

	private final Map<RequestId, AdmissionRequest> waiting = new HashMap<>();

	private double virtualTime;

	private double meanRunSeconds;

	private @Nullable Instant waitingSince;

	private boolean capacityKnown;

	/**
	 * Sets whether the capacity is known, or the endpoints' limits still grow with each
	 * answer.
	 * @param known whether most endpoints are past slow start
	 */
	void capacityKnown(boolean known) {
		this.capacityKnown = known;
	}

	int runningCount() {
		return this.running.size();
	}

	int waitingCount() {
		return this.waiting.size();
	}

	int runningOf(AccountName account) {
		AccountQueue queue = this.accounts.get(account);
		return ((queue != null) ? queue.running() : 0);
	}

	AdmissionDecision offer(AdmissionRequest request, int freeSlots, Duration meanFirstToken, Instant now) {
		if (this.waiting.isEmpty() && freeSlots >= 1) {
			AccountQueue account = account(request.account());
			account.advanceTo(this.virtualTime);
			return admit(account, request, now);
		}
		double expected = expectedWait(request, freeSlots);
		double maximum = maximumWait(request, meanFirstToken, now);
		if (expected > maximum || this.waiting.size() >= MAXIMUM_WAITING_REQUESTS) {
			return refuse(request, freeSlots, expected - maximum);
		}
		enqueue(request, now);
		return new AdmissionDecision.Waiting(request.request(), duration(expected));
	}

	/**
	 * Admits as many waiting requests as there are free slots.
	 * @param freeSlots the number of free slots
	 * @param now the current time
	 * @return the admissions
	 */
	List<AdmissionDecision> dispatch(int freeSlots, Instant now) {
		if (freeSlots <= 0 || this.waiting.isEmpty()) {
			return List.of();
		}
		List<AdmissionDecision> admitted = new ArrayList<>();
		int capacity = this.running.size() + freeSlots;
		for (int i = 0; i < freeSlots && !this.waiting.isEmpty(); i++) {
			admitted.add(admitNext(capacity, now));
		}
		return admitted;
	}

	/**
	 * Refuses waiting requests whose deadline has expired.
	 * @param freeSlots the number of free slots
	 * @param now the current time
	 * @return the refusals
	 */
	List<AdmissionDecision> expire(int freeSlots, Instant now) {
		List<AdmissionDecision> refused = new ArrayList<>();
		for (AccountQueue account : List.copyOf(this.waitingAccounts)) {
			while (!account.waiting().isEmpty() && !now.isBefore(account.waiting().peekFirst().request().deadline())) {
				AdmissionRequest request = account.waiting().removeFirst().request();
				removeWaiting(account, request);
				refused.add(refuse(request, freeSlots, expectedWait(request, freeSlots)));
			}
		}
		return refused;
	}

	void release(RequestId request, Instant now) {
		Running ended = this.running.remove(request);
		if (ended == null) {
			return;
		}
		double seconds = seconds(ended.admittedAt(), now);
		this.meanRunSeconds = ((this.meanRunSeconds == 0) ? seconds
				: this.meanRunSeconds + MEAN_WEIGHT * (seconds - this.meanRunSeconds));
		ended.account().release();
		removeIfIdle(ended.account());
	}

	void cancel(RequestId id) {
		AdmissionRequest request = this.waiting.get(id);
		if (request == null) {
			return;
		}
		AccountQueue account = account(request.account());
		account.waiting().removeIf((waitingRequest) -> waitingRequest.request().equals(request));
		removeWaiting(account, request);
	}

	private AdmissionDecision admitNext(int capacity, Instant now) {
		AccountQueue account = nextAccount(capacity);
		AccountQueue.WaitingRequest waitingRequest = account.waiting().removeFirst();
		AdmissionRequest request = waitingRequest.request();
		account.observeWait(seconds(waitingRequest.arrivedAt(), now), waitingRequest.position());
		this.waitingAccounts.remove(account);
		this.waiting.remove(request.request());
		this.virtualTime = Math.max(this.virtualTime, account.startTag());
		AdmissionDecision decision = admit(account, request, now);
		if (!account.waiting().isEmpty()) {
			this.waitingAccounts.add(account);
		}
		clearWaitingSinceIfEmpty();
		return decision;
	}

	private AccountQueue nextAccount(int capacity) {
		AccountQueue first = this.waitingAccounts.first();
		if (this.waitingAccounts.size() == 1 || isWithinShare(first, capacity)) {
			return first;
		}
		for (AccountQueue account : this.waitingAccounts) {
			if (isWithinShare(account, capacity)) {
				return account;
			}
		}
		// All waiting accounts exceed their share. Refusing to serve them would only
		// leave capacity idle.
		return first;
	}

	private AdmissionDecision admit(AccountQueue account, AdmissionRequest request, Instant now) {
		Running previous = this.running.put(request.request(), new Running(account, now));
		Invariant.check(previous == null, "request %s admitted twice", request.request());
		account.admit(request);
		return new AdmissionDecision.Admitted(request.request());
	}

	private void enqueue(AdmissionRequest request, Instant now) {
		AccountQueue account = account(request.account());
		if (account.waiting().isEmpty()) {
			account.advanceTo(this.virtualTime);
			this.waitingAccounts.add(account);
		}
		account.waiting().addLast(new AccountQueue.WaitingRequest(request, now, account.waiting().size() + 1));
		this.waiting.put(request.request(), request);
		if (this.waitingSince == null) {
			this.waitingSince = now;
		}
	}

	private AdmissionDecision.Refused refuse(AdmissionRequest request, int freeSlots, double excessSeconds) {
		double retryAfter = Math.max(MINIMUM_RETRY_AFTER_SECONDS,
				Math.max(excessSeconds, secondsPerRelease(freeSlots)));
		AccountQueue account = account(request.account());
		boolean othersWait = this.waitingAccounts.size() > (account.waiting().isEmpty() ? 0 : 1);
		boolean overShare = !isWithinShare(account, request, this.running.size() + Math.max(0, freeSlots));
		removeIfIdle(account);
		ErrorKind kind = ((othersWait && overShare) ? ErrorKind.ACCOUNT_OVER_LIMIT : ErrorKind.OVERLOADED);
		return new AdmissionDecision.Refused(request.request(), kind, duration(retryAfter));
	}

	private double expectedWait(AdmissionRequest request, int freeSlots) {
		// Predicts the wait from the account's queue and its share of the releases,
		// bounded by the number of all waiting requests.
		AccountQueue account = this.accounts.get(request.account());
		int ownWaiting = ((account != null) ? account.waiting().size() : 0);
		if (account != null && account.secondsPerPosition() > 0 && ownWaiting > 0) {
			return (ownWaiting + 1) * account.secondsPerPosition();
		}
		int competingAccounts = this.waitingAccounts.size() + ((ownWaiting == 0) ? 1 : 0);
		double startTag = ((account != null) ? Math.max(account.startTag(), this.virtualTime) : this.virtualTime);
		double requestsAhead = 1.0 + (double) ownWaiting * competingAccounts + accountsAhead(startTag);
		return Math.min(this.waiting.size() + 1.0, requestsAhead) * secondsPerRelease(freeSlots);
	}

	private int accountsAhead(double startTag) {
		int accountsAhead = 0;
		for (AccountQueue account : this.waitingAccounts) {
			if (account.startTag() >= startTag || accountsAhead == MAXIMUM_COUNTED_ACCOUNTS) {
				return accountsAhead;
			}
			accountsAhead++;
		}
		return accountsAhead;
	}

	private double secondsPerRelease(int freeSlots) {
		int capacity = Math.max(1, this.running.size() + Math.max(0, freeSlots));
		return this.meanRunSeconds / capacity;
	}

	private double maximumWait(AdmissionRequest request, Duration meanFirstToken, Instant now) {
		// Bounds the wait by the part of the target not needed for the first token, and
		// more tightly during sustained overload. If only the deadline bounded the wait,
		// a burst would fill a queue whose answers are all late (up to 25 s at three
		// times the load), and the next burst would refill it once it is empty. During
		// slow start the predicted wait is too long, so a burst may wait until the
		// deadline.
		double untilDeadline = seconds(now, request.deadline()) - this.meanRunSeconds;
		Instant since = this.waitingSince;
		Duration target = request.profile().firstTokenTarget();
		boolean sustained = since != null && since.plus(target).isBefore(now);
		if (!sustained && !this.capacityKnown) {
			return untilDeadline;
		}
		double targetSeconds = target.toNanos() / NANOS_PER_SECOND;
		double availableSeconds = targetSeconds * FIRST_TOKEN_TARGET_SHARE
				- meanFirstToken.toNanos() / NANOS_PER_SECOND;
		double maximumSeconds = targetSeconds * (sustained ? OVERLOAD_WAIT_TARGET_SHARE : FIRST_TOKEN_TARGET_SHARE);
		return Math.min(untilDeadline,
				Math.clamp(availableSeconds, targetSeconds * MINIMUM_WAIT_TARGET_SHARE, maximumSeconds));
	}

	private boolean isWithinShare(AccountQueue account, int capacity) {
		AccountQueue.WaitingRequest head = account.waiting().peekFirst();
		return head == null || isWithinShare(account, head.request(), capacity);
	}

	private static boolean isWithinShare(AccountQueue account, AdmissionRequest request, int capacity) {
		return account.running() < Math.max(1, request.profile().accountShare() * capacity);
	}

	private AccountQueue account(AccountName name) {
		return this.accounts.computeIfAbsent(name, AccountQueue::new);
	}

	private void removeWaiting(AccountQueue account, AdmissionRequest request) {
		this.waiting.remove(request.request());
		if (account.waiting().isEmpty()) {
			this.waitingAccounts.remove(account);
		}
		removeIfIdle(account);
		clearWaitingSinceIfEmpty();
	}

	private void removeIfIdle(AccountQueue account) {
		if (account.isIdle()) {
			this.accounts.remove(account.account());
		}
	}

	private void clearWaitingSinceIfEmpty() {
		if (this.waiting.isEmpty()) {
			this.waitingSince = null;
		}
	}

	private static double seconds(Instant from, Instant to) {
		return Duration.between(from, to).toNanos() / NANOS_PER_SECOND;
	}

	private static Duration duration(double seconds) {
		return Duration.ofNanos(Math.round(Math.max(0, seconds) * NANOS_PER_SECOND));
	}

	private record Running(AccountQueue account, Instant admittedAt) {
	}

}
