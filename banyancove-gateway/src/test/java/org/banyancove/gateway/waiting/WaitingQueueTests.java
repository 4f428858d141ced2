package org.banyancove.gateway.waiting;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.sun.management.ThreadMXBean;
import org.banyancove.core.AccountName;
import org.banyancove.gateway.admission.RetryAfterRule;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class WaitingQueueTests {

	private static final long MILLISECOND = 1_000_000;

	private final WaitingCapacity capacity = new WaitingCapacity();

	private final WaitingQueue queue = new WaitingQueue(this.capacity, new RetryAfterRule());

	@Test
	void startsByPriorityThenLeastServedAccountThenEarliestLatestStart() {
		offer(request("b late", 1, "b", 0, 0, 900));
		offer(request("a early", 1, "a", 0, 0, 300));
		offer(request("b early", 1, "b", 0, 0, 800));
		offer(request("high priority", 0, "a", 0, 0, 999));
		this.queue.started(request("past the queue", 0, "b", 1, 0, 0));
		this.queue.started(request("past the queue", 0, "a", 5, 0, 0));
		assertThat(drain()).containsExactly("high priority", "b early", "b late", "a early");
	}

	// Guards against a fair order that holds only within one priority: what an account
	// is served at one priority counts at the others.
	@Test
	void countsWhatAnAccountIsServedAtAllPriorities() {
		offer(request("a", 1, "a", 1, 1, 500));
		offer(request("b", 1, "b", 1, 1, 500));
		this.queue.started(request("", 0, "a", 3, 1, 500));
		assertThat(drain()).containsExactly("b", "a");
	}

	// Guards against an account that saves up what it did not use and then keeps the
	// others waiting.
	@Test
	void returningAccountIsLiftedToTheLowestOfThoseThatWait() {
		for (int i = 0; i < 10; i++) {
			offer(request("a", 0, "a", 1, 1, 500));
		}
		for (int i = 0; i < 4; i++) {
			this.queue.started(next());
		}
		for (int i = 0; i < 3; i++) {
			offer(request("b", 0, "b", 1, 1, 500));
		}
		assertThat(drain()).containsExactly("a", "b", "a", "b", "a", "b", "a", "a", "a");
	}

	// Guards against an account whose requests wait because it was served before others
	// came, while nothing waited.
	@Test
	void accountIsNotChargedForTimesWithoutWaitingRequests() {
		for (int i = 0; i < 100; i++) {
			this.queue.started(request("a", 0, "a", 1, 1, 500));
		}
		offer(request("b", 0, "b", 1, 1, 500));
		offer(request("a", 0, "a", 1, 1, 500));
		offer(request("b", 0, "b", 1, 1, 500));
		assertThat(drain()).containsExactly("a", "b", "b");
	}

	// Guards against accounts that are rejected because another one sends seven times
	// its usual. As one account, they lose as much as the one that sends too much.
	@Test
	void accountThatSendsSevenTimesItsUsualDoesNotDisplaceOthers() {
		assertThat(shareOfOthersStarted(true)).isGreaterThan(0.95);
		assertThat(shareOfOthersStarted(false)).isLessThan(0.75);
	}

	// Eight accounts whose usual rate is what the endpoints start: one request in 10 ms.
	private static double shareOfOthersStarted(boolean byAccount) {
		WaitingQueue queue = new WaitingQueue(new WaitingCapacity(), new RetryAfterRule());
		int sent = 0;
		int started = 0;
		for (int milli = 0; milli < 10_000; milli++) {
			long now = milli * MILLISECOND;
			for (int account = 0; account < 8; account++) {
				int copies = (account == 0) ? 7 : 1;
				for (int copy = 0; copy < copies; copy++) {
					if (milli % 80 == (account * 10 + copy * 11) % 80) {
						sent += (account > 0) ? 1 : 0;
						queue.offer(request(String.valueOf(account), 0, byAccount ? "account" + account : null, 1, 10,
								milli + 800), 1000, now);
					}
				}
			}
			queue.removeExpired(now);
			WaitingRequest first = queue.peek(now);
			if (milli % 10 == 0 && first != null) {
				queue.started(first);
				started += first.id().equals("0") ? 0 : 1;
			}
		}
		return started / (double) sent;
	}

	@Test
	void rejectsARequestWhoseWorkAheadEndsAfterItsLatestStart() {
		offer(request("a", 0, "a", 1, 300, 900));
		offer(request("b", 0, "b", 1, 300, 900));
		assertThat(this.queue.offer(request("late", 1, "c", 1, 10, 500), 1000, 0)).isInstanceOfSatisfying(
				OfferResult.Rejected.class,
				(rejected) -> assertThat(rejected.reason()).isEqualTo(RejectionReason.PREDICTED_LATE));
		assertThat(this.queue.offer(request("in time", 1, "c", 1, 10, 601), 1000, 0))
			.isEqualTo(new OfferResult.Queued(Duration.ofMillis(600)));
		assertThat(this.queue.offer(request("rate unknown", 1, "c", 1, 10, 500), 0, 0))
			.isEqualTo(new OfferResult.Queued(Duration.ZERO));
		assertThat(this.queue.offer(request("first of its priority", 0, "a", 1, 10, 100), 1000, 0))
			.isEqualTo(new OfferResult.Queued(Duration.ZERO));
	}

	// Guards against requests that are sent late after the process stood still.
	@Test
	void requestsThatExpiredDuringAPauseAreRemovedBeforeOneIsStarted() {
		offer(request("a", 0, "a", 1, 1, 500));
		offer(request("b", 1, null, 1, 1, 700));
		offer(request("c", 2, "c", 1, 1, 9000));
		long now = 5000 * MILLISECOND;
		assertThat(Objects.requireNonNull(this.queue.peek(now)).id()).isEqualTo("c");
		assertThat(this.queue.removeExpired(now)).extracting(WaitingRequest::id).containsExactly("a", "b");
		assertThat(this.queue.size()).isEqualTo(1);
		assertThat(this.queue.offer(request("d", 0, "d", 1, 1, 4000), 0, now)).isInstanceOfSatisfying(
				OfferResult.Rejected.class,
				(rejected) -> assertThat(rejected.reason()).isEqualTo(RejectionReason.EXPIRED));
	}

	// Guards against requests that are sent although their callers have left.
	@Test
	void requestWhoseCallerLeftIsNotStarted() {
		WaitingRequest left = request("left", 0, "a", 1, 1, 500);
		offer(left);
		offer(request("a", 1, "a", 1, 1, 500));
		assertThat(this.queue.remove(left)).isTrue();
		assertThat(this.queue.remove(left)).isFalse();
		assertThat(drain()).containsExactly("a");
		assertThat(this.capacity.entries()).isZero();
		assertThat(this.capacity.bytes()).isZero();
	}

	// Guards against memory that grows with a burst.
	@Test
	void fullQueuesRejectWhateverServiceARequestIsOf() {
		WaitingQueue other = new WaitingQueue(this.capacity, new RetryAfterRule());
		for (int i = 0; i < 1024; i++) {
			offer((i % 2 == 0) ? this.queue : other, request("a", 0, "a", 1, 1, 500));
		}
		assertThat(this.queue.offer(request("full", 0, "b", 1, 1, 500), 0, 0))
			.isEqualTo(new OfferResult.Rejected(RejectionReason.QUEUE_FULL, Duration.ofMillis(200)));
		this.queue.started(next());
		offer(request("a", 0, "a", 1, 1, 500));
	}

	@Test
	void bodiesOfWaitingRequestsAreBounded() {
		offer(new WaitingRequest("a", 0, null, 1, 1, 5 << 20, 0, 1));
		assertThat(this.queue.bytes()).isEqualTo(5 << 20);
		assertThat(this.queue.offer(new WaitingRequest("b", 0, null, 1, 1, 4 << 20, 0, 1), 0, 0))
			.isInstanceOf(OfferResult.Rejected.class);
	}

	@Test
	void invalidInputIsRejectedByNameAndLosesNothing() {
		WaitingRequest waiting = request("a", 0, "a", 1, 1, 500);
		offer(waiting);
		assertThatIllegalArgumentException().isThrownBy(() -> this.queue.offer(waiting, 0, 0))
			.withMessageContaining("already");
		assertThatIllegalArgumentException().isThrownBy(() -> this.queue.offer(waiting, -1, 0))
			.withMessage("drainRate must not be negative: -1.0");
		assertThatIllegalArgumentException().isThrownBy(() -> request("a", -1, "a", 1, 1, 500))
			.withMessage("priority must be finite and not negative: -1.0");
		assertThatIllegalArgumentException().isThrownBy(() -> request("a", 0, "a", Double.NaN, 1, 500))
			.withMessageContaining("quotaSeconds");
		assertThat(drain()).containsExactly("a");
	}

	// Guards against a decision that allocates for each waiting request.
	@Test
	void allocationOfADecisionDoesNotGrowWithTheWaitingRequests() {
		long few = bytesOfADecision(10);
		assertThat(bytesOfADecision(1000)).isLessThan(few + 256);
	}

	private static long bytesOfADecision(int requests) {
		WaitingQueue queue = new WaitingQueue(new WaitingCapacity(), new RetryAfterRule());
		for (int i = 0; i < requests; i++) {
			offer(queue, request("a", i % 3, "account" + i % 16, 1, 1, 10_000 + i));
		}
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		int decisions = 20_000;
		long before = 0;
		for (int i = 0; i < 2 * decisions; i++) {
			before = (i == decisions) ? threads.getCurrentThreadAllocatedBytes() : before;
			WaitingRequest request = request("b", i % 3, "account3", 1, 1, 10_500);
			offer(queue, request);
			queue.peek(0);
			queue.removeExpired(0);
			queue.remove(request);
		}
		return (threads.getCurrentThreadAllocatedBytes() - before) / decisions;
	}

	private void offer(WaitingRequest request) {
		offer(this.queue, request);
	}

	private static void offer(WaitingQueue queue, WaitingRequest request) {
		assertThat(queue.offer(request, 0, 0)).isInstanceOf(OfferResult.Queued.class);
	}

	private WaitingRequest next() {
		return Objects.requireNonNull(this.queue.peek(0));
	}

	private List<String> drain() {
		List<String> ids = new ArrayList<>();
		WaitingRequest first = this.queue.peek(0);
		while (first != null) {
			ids.add(first.id());
			this.queue.started(first);
			first = this.queue.peek(0);
		}
		return ids;
	}

	private static WaitingRequest request(String id, int priority, @Nullable String account, double quotaSeconds,
			double workMillis, long latestStartMillis) {
		return new WaitingRequest(id, priority, (account != null) ? new AccountName(account) : null, quotaSeconds,
				workMillis, 100, 0, latestStartMillis * MILLISECOND);
	}

}
