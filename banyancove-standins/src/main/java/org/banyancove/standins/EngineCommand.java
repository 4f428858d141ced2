package org.banyancove.standins;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyancove.program.ExitCode;
import org.banyancove.standins.engine.EngineOptions;
import org.banyancove.standins.engine.EngineStandin;
import org.jspecify.annotations.Nullable;

/**
 * Runs the stand-in of a model engine.
 */
@Parameters(commandDescription = "A model engine")
final class EngineCommand implements StandinCommand {

	private static final int CRASH_EXIT_STATUS = 137;

	@Parameter(names = "--address", converter = AddressConverter.class, description = "The address to listen on")
	private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	@Parameter(names = "--id", description = "The endpoint's identifier")
	private String id = "engine-1";

	@Parameter(names = "--tokens-per-second", description = "The tokens generated a second, over all streams")
	private double tokensPerSecond = 2_000;

	@Parameter(names = "--prefill-tokens-per-second", description = "The prompt tokens computed a second")
	private double prefillTokensPerSecond = 20_000;

	@Parameter(names = "--slots", description = "How many streams run at once")
	private int slots = 8;

	@Parameter(names = "--prefix-cache-tokens", description = "How many prompt tokens the prefix cache holds")
	private int prefixCacheTokens = 10_000;

	@Parameter(names = "--report-lag", converter = DurationConverter.class,
			description = "The lag of load reports and cache events")
	private Duration reportLag = Duration.ofMillis(500);

	@Parameter(names = "--check-fence", arity = 1,
			description = "Whether orders with an old fencing number are refused")
	private boolean checkFence = true;

	@Parameter(names = "--weight-store", converter = AddressConverter.class,
			description = "The platform whose weight store models are loaded from")
	private @Nullable InetSocketAddress weightStore;

	@Override
	public ExitCode run(PrintStream output) throws InterruptedException {
		EngineOptions options = EngineOptions.defaults()
			.withAddress(this.address)
			.withId(this.id)
			.withSpeed(this.tokensPerSecond, this.prefillTokensPerSecond)
			.withLimits(this.slots, this.prefixCacheTokens)
			.withReportLag(this.reportLag)
			.withCheckFence(this.checkFence)
			.withOnCrash(() -> Runtime.getRuntime().halt(CRASH_EXIT_STATUS));
		if (this.weightStore != null) {
			options = options.withWeightStore(this.weightStore);
		}
		EngineStandin engine = new EngineStandin(options).start();
		return StandinCommand.serve(engine, engine.address(), output);
	}

}
