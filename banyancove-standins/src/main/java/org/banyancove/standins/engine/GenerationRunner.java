package org.banyancove.standins.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.banyancove.standins.support.FaultSwitches;
import org.jspecify.annotations.Nullable;

/**
 * Runs generations at the engine's speed, which the running ones share evenly. Each
 * generation runs on its own thread. This class is thread-safe.
 */
final class GenerationRunner {

	private static final int DEFAULT_MAX_TOKENS = 128;

	private static final int MAXIMUM_RETAINED_GENERATIONS = 4_096;

	private static final double NANOS_PER_SECOND = 1e9;

	private final EngineOptions options;

	private final FaultSwitches<EngineFault> faults;

	private final Runnable crash;

	private final Batch batch;

	private final CacheEvents cacheEvents;

	private final PrefixCache cache;

	private final KvStore kvStore = new KvStore();

	private final LongAdder generatedTokens = new LongAdder();

	private final LongAdder recomputedTokens = new LongAdder();

	private final Map<String, Generation> generations = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
			return size() > MAXIMUM_RETAINED_GENERATIONS && !eldest.getValue().isRunning();
		}

	};

	GenerationRunner(EngineOptions options, FaultSwitches<EngineFault> faults, Runnable crash) {
		this.options = options;
		this.faults = faults;
		this.crash = crash;
		this.batch = new Batch(options.slots());
		this.cacheEvents = new CacheEvents(options.reportLag(), options.clock());
		this.cache = new PrefixCache(options.prefixCacheTokens(), this.cacheEvents::add);
	}

	/**
	 * Registers a generation, which replaces and cancels an earlier one of its request.
	 * @param requestId the request's identifier
	 * @param attempt the number of the attempt, from one
	 * @param request the chat
	 * @return the generation, not yet running
	 */
	synchronized Generation accept(String requestId, int attempt, ChatRequest request) {
		List<String> words = request.promptWords();
		TokenText text = new TokenText(request.model(), request.messages());
		int resumed = (request.resume() != null) ? request.resume().offset() : 0;
		int imported = this.kvStore.remove(requestId, text);
		int cached = (imported >= 0) ? words.size() : this.cache.use(words);
		int computed = words.size() - cached + Math.max(0, resumed - Math.max(0, imported));
		int recomputed = (attempt > 1 || resumed > 0) ? computed : 0;
		this.recomputedTokens.add(recomputed);
		int endOffset = (request.maxTokens() != null) ? request.maxTokens() : DEFAULT_MAX_TOKENS;
		Generation.Usage usage = new Generation.Usage(words.size(), endOffset, words.size() + endOffset, cached,
				recomputed);
		Generation generation = new Generation(requestId, request, endOffset, usage);
		Generation earlier = this.generations.put(requestId, generation);
		if (earlier != null) {
			earlier.cancel();
		}
		return generation;
	}

	/**
	 * Runs a generation until it ends.
	 * @param generation the generation
	 * @param priority the queue priority, zero for the highest
	 */
	void run(Generation generation, int priority) {
		try {
			this.batch.acquireSlot(priority);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return;
		}
		try {
			crashIfTriggered(generation.request());
			generate(generation);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.batch.releaseSlot();
		}
	}

	synchronized @Nullable Generation find(String requestId) {
		return this.generations.get(requestId);
	}

	KvStore kvStore() {
		return this.kvStore;
	}

	CacheEvents cacheEvents() {
		return this.cacheEvents;
	}

	long recomputedTokens() {
		return this.recomputedTokens.sum();
	}

	long generatedTokens() {
		return this.generatedTokens.sum();
	}

	int running() {
		return this.batch.running();
	}

	int queued() {
		return this.batch.queued();
	}

	synchronized int kvUsedTokens() {
		int used = this.cache.usedTokens();
		for (Generation generation : this.generations.values()) {
			if (generation.isRunning()) {
				used += generation.available();
			}
		}
		return used;
	}

	private void generate(Generation generation) throws InterruptedException {
		Generation.Usage usage = generation.usage();
		int resumed = generation.firstOffset();
		int prefill = usage.promptTokens() - usage.cachedTokens() + resumed;
		long due = System.nanoTime() + nanos(prefill, this.options.prefillTokensPerSecond());
		sleepUntil(due);
		while (generation.isRunning()) {
			due += nanos(1, this.options.tokensPerSecond());
			sleepUntil(due);
			generation.advance();
			this.generatedTokens.increment();
		}
	}

	private long nanos(int tokens, double perSecond) {
		double slowFactor = Math.max(1, this.faults.number(EngineFault.SLOW_FACTOR));
		double concurrency = Math.max(1, this.batch.running());
		return (long) (tokens * concurrency * slowFactor / perSecond * NANOS_PER_SECOND);
	}

	private void sleepUntil(long due) throws InterruptedException {
		long remainingNanos = due - System.nanoTime();
		if (remainingNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(remainingNanos);
		}
	}

	private void crashIfTriggered(ChatRequest request) {
		String word = this.faults.text(EngineFault.CRASH_ON_WORD);
		if (!word.isEmpty() && request.promptWords().contains(word)) {
			this.crash.run();
		}
	}

}
