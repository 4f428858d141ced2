package org.banyancove.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;

import org.banyancove.core.routing.CacheChange;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.LoadReport;
import org.banyancove.core.routing.PromptPrefix;
import org.jspecify.annotations.Nullable;

/**
 * Models an engine with continuous batching: one prompt is prefilled at a time, while all
 * sequences of the batch decode at the same rate, which decreases as the batch grows.
 * <p>
 * The virtual time is the number of tokens that a sequence in the batch since the start
 * would have generated. It makes the cost of the model independent of the number of
 * decoding steps.
 */
final class SimulatedEngine implements SimulatedEndpoint {

	/** The relative decoding rate of the batch while a prompt is prefilled. */
	private static final double DECODE_RATE_DURING_PREFILL = 0.6;

	/** The relative rate of a prefill while a batch decodes. */
	private static final double PREFILL_RATE_DURING_DECODE = 0.85;

	private static final int MAXIMUM_QUEUE_LENGTH = 64;

	private final EndpointDefinition definition;

	private final EngineSpeed speed;

	private final EventQueue events;

	private final BiConsumer<SimulatedEngine, CacheChange> cacheListener;

	private final Deque<Job> queue = new ArrayDeque<>();

	private final PriorityQueue<Job> batch = new PriorityQueue<>(Comparator.comparingDouble(Job::endAt));

	private final PrefixCache cache;

	private @Nullable Job prefilling;

	private int prefillTokens;

	private double remainingPrefillTokens;

	private double virtualTime;

	private double updatedAt;

	private double busySeconds;

	private long kvUsed;

	private long cacheSequence;

	private long scheduleVersion;

	private boolean alive = true;

	SimulatedEngine(Fleet.Engine engine, EventQueue events, BiConsumer<SimulatedEngine, CacheChange> cacheListener) {
		this.definition = engine.definition();
		this.speed = engine.speed();
		this.events = events;
		this.cacheListener = cacheListener;
		this.cache = new PrefixCache(engine.speed().cacheTokens());
	}

	@Override
	public EndpointDefinition definition() {
		return this.definition;
	}

	@Override
	public void submit(Job job) {
		if (!this.alive) {
			job.listener().lost();
			return;
		}
		if (this.queue.size() >= MAXIMUM_QUEUE_LENGTH) {
			job.listener().refused();
			return;
		}
		advance();
		this.queue.addLast(job);
		schedule();
	}

	@Override
	public int cancel(Job job) {
		advance();
		int generated = 0;
		if (this.batch.remove(job)) {
			generated = (int) Math.max(0, job.outputTokens() - (job.endAt() - this.virtualTime));
			this.kvUsed -= job.kvTokens();
		}
		else if (this.prefilling == job) {
			this.prefilling = null;
			this.kvUsed -= job.kvTokens();
		}
		else {
			this.queue.remove(job);
		}
		job.end();
		schedule();
		return generated;
	}

	@Override
	public void kill() {
		advance();
		List<Job> jobs = new ArrayList<>(this.queue);
		jobs.addAll(this.batch);
		if (this.prefilling != null) {
			jobs.add(this.prefilling);
		}
		this.alive = false;
		this.queue.clear();
		this.batch.clear();
		this.prefilling = null;
		this.kvUsed = 0;
		this.scheduleVersion++;
		this.cache.clear();
		jobs.forEach((job) -> job.listener().lost());
	}

	@Override
	public void restart() {
		advance();
		this.alive = true;
	}

	@Override
	public LoadReport report() {
		advance();
		int running = this.batch.size() + ((this.prefilling != null) ? 1 : 0);
		double tokensPerSecond = this.batch.size() * decodeRate();
		return new LoadReport(this.events.instant(), running, this.queue.size(), tokensPerSecond, this.kvUsed,
				this.speed.kvLimit());
	}

	@Override
	public double busySeconds() {
		return this.busySeconds;
	}

	private double decodeRate() {
		if (this.batch.isEmpty()) {
			return 0;
		}
		double step = this.speed.stepSeconds() + this.batch.size() * this.speed.stepSecondsPerSequence();
		return ((this.prefilling != null) ? DECODE_RATE_DURING_PREFILL : 1) / step;
	}

	private double prefillRate() {
		return this.speed.promptTokensPerSecond() * (this.batch.isEmpty() ? 1 : PREFILL_RATE_DURING_DECODE);
	}

	private void advance() {
		double elapsed = this.events.now() - this.updatedAt;
		this.updatedAt = this.events.now();
		if (this.prefilling != null || !this.batch.isEmpty()) {
			this.busySeconds += elapsed;
		}
		this.virtualTime += elapsed * decodeRate();
		if (this.prefilling != null) {
			this.remainingPrefillTokens -= elapsed * prefillRate();
		}
	}

	private void schedule() {
		startPrefill();
		this.scheduleVersion++;
		long scheduledVersion = this.scheduleVersion;
		double next = Double.POSITIVE_INFINITY;
		if (this.prefilling != null) {
			next = Math.max(0, this.remainingPrefillTokens) / prefillRate();
		}
		if (!this.batch.isEmpty()) {
			next = Math.min(next, Math.max(0, this.batch.peek().endAt() - this.virtualTime) / decodeRate());
		}
		if (next < Double.POSITIVE_INFINITY) {
			this.events.scheduleAfter(next, () -> step(scheduledVersion));
		}
	}

	private void step(long scheduledVersion) {
		if (scheduledVersion != this.scheduleVersion) {
			return;
		}
		advance();
		Job prefilled = this.prefilling;
		if (prefilled != null && this.remainingPrefillTokens <= 1e-6) {
			this.prefilling = null;
			prefilled.endAt(this.virtualTime + prefilled.outputTokens());
			this.batch.add(prefilled);
			this.cache.store(prefilled.prefixes(), (prefix) -> notifyCacheListener(CacheChange.Kind.STORED, prefix),
					(prefix) -> notifyCacheListener(CacheChange.Kind.EVICTED, prefix));
			prefilled.listener().firstToken(this.prefillTokens);
		}
		Job first = this.batch.peek();
		if (first != null && first.endAt() <= this.virtualTime + 1e-6) {
			this.batch.remove();
			this.kvUsed -= first.kvTokens();
			first.end();
			first.listener().completed();
		}
		schedule();
	}

	private void startPrefill() {
		Job next = this.queue.peekFirst();
		if (this.prefilling != null || next == null || this.batch.size() >= this.speed.slots()) {
			return;
		}
		if (!this.batch.isEmpty() && this.kvUsed + next.kvTokens() > this.speed.kvLimit()) {
			return;
		}
		this.queue.removeFirst();
		this.prefilling = next;
		this.kvUsed += next.kvTokens();
		this.prefillTokens = Math.max(1, next.promptTokens() - this.cache.cachedTokens(next.prefixes()));
		this.remainingPrefillTokens = this.prefillTokens;
	}

	private void notifyCacheListener(CacheChange.Kind kind, PromptPrefix prefix) {
		this.cacheSequence++;
		this.cacheListener.accept(this, new CacheChange(this.cacheSequence, kind, prefix));
	}

}
