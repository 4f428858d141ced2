package org.banyancove.standins.engine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;

import org.jspecify.annotations.Nullable;

/**
 * The options of an {@link EngineStandin}.
 *
 * @param address the address to listen on
 * @param id the endpoint's identifier
 * @param tokensPerSecond the generated tokens per second, shared by the running streams
 * @param prefillTokensPerSecond the computed prompt tokens per second of a single stream
 * @param slots the maximum number of running streams
 * @param prefixCacheTokens the capacity of the prefix cache in prompt tokens
 * @param reportLag the lag of load reports and cache events
 * @param checkFence whether orders with a stale fencing token are rejected
 * @param onCrash the action on a crash, or {@code null} to only stop serving
 * @param weightStore the platform whose weight store models are loaded from, or
 * {@code null} to load them instantly
 * @param clock the clock
 */
public record EngineOptions(InetSocketAddress address, String id, double tokensPerSecond, double prefillTokensPerSecond,
		int slots, int prefixCacheTokens, Duration reportLag, boolean checkFence, @Nullable Runnable onCrash,
		@Nullable InetSocketAddress weightStore, InstantSource clock) {

	/**
	 * Returns options for a fast engine on an ephemeral loopback port.
	 * @return the options
	 */
	public static EngineOptions defaults() {
		return new EngineOptions(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "engine-1", 2_000, 20_000,
				8, 10_000, Duration.ofMillis(500), true, null, null, InstantSource.system());
	}

	/**
	 * Returns these options with another address.
	 * @param value the address
	 * @return the options
	 */
	public EngineOptions withAddress(InetSocketAddress value) {
		return new EngineOptions(value, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, this.reportLag, this.checkFence, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with another identifier.
	 * @param value the endpoint's identifier
	 * @return the options
	 */
	public EngineOptions withId(String value) {
		return new EngineOptions(this.address, value, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, this.reportLag, this.checkFence, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with other speeds.
	 * @param tokens the generated tokens per second
	 * @param prefillTokens the computed prompt tokens per second
	 * @return the options
	 */
	public EngineOptions withSpeed(double tokens, double prefillTokens) {
		return new EngineOptions(this.address, this.id, tokens, prefillTokens, this.slots, this.prefixCacheTokens,
				this.reportLag, this.checkFence, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with other limits.
	 * @param running the maximum number of running streams
	 * @param cacheTokens the capacity of the prefix cache in prompt tokens
	 * @return the options
	 */
	public EngineOptions withLimits(int running, int cacheTokens) {
		return new EngineOptions(this.address, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, running,
				cacheTokens, this.reportLag, this.checkFence, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with another report lag.
	 * @param value the lag
	 * @return the options
	 */
	public EngineOptions withReportLag(Duration value) {
		return new EngineOptions(this.address, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, value, this.checkFence, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with fencing tokens of orders checked or ignored.
	 * @param value whether orders with a stale fencing token are rejected
	 * @return the options
	 */
	public EngineOptions withCheckFence(boolean value) {
		return new EngineOptions(this.address, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, this.reportLag, value, this.onCrash, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with another crash action.
	 * @param value the action on a crash
	 * @return the options
	 */
	public EngineOptions withOnCrash(Runnable value) {
		return new EngineOptions(this.address, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, this.reportLag, this.checkFence, value, this.weightStore, this.clock);
	}

	/**
	 * Returns these options with models loaded from a weight store.
	 * @param value the platform's address
	 * @return the options
	 */
	public EngineOptions withWeightStore(InetSocketAddress value) {
		return new EngineOptions(this.address, this.id, this.tokensPerSecond, this.prefillTokensPerSecond, this.slots,
				this.prefixCacheTokens, this.reportLag, this.checkFence, this.onCrash, value, this.clock);
	}

}
