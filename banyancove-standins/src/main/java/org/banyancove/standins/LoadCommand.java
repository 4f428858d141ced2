package org.banyancove.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.banyancove.program.ExitCode;
import org.banyancove.standins.load.LoadOptions;
import org.banyancove.standins.load.LoadReport;
import org.banyancove.standins.load.LoadRun;
import org.banyancove.standins.support.Json;
import org.jspecify.annotations.Nullable;

/**
 * Runs the load generator.
 */
@Parameters(commandDescription = "A bounded load over loopback, of the system and of stand-ins called directly")
final class LoadCommand implements StandinCommand {

	@Parameter(names = "--target", required = true, description = "The system, as http://127.0.0.1:port")
	private String target = "";

	@Parameter(names = "--direct", description = "An engine to call directly beside it, as http://127.0.0.1:port")
	private @Nullable String direct;

	@Parameter(names = "--direct-service", description = "A plain service to call directly; default: as --direct")
	private @Nullable String directService;

	@Parameter(names = "--requests", description = "How many requests are measured, on each side")
	private int requests = 1_000;

	@Parameter(names = "--warm-up", description = "How many requests go before them unmeasured")
	private int warmUp;

	@Parameter(names = "--concurrency", description = "How many requests are open at most")
	private int concurrency = 16;

	@Parameter(names = "--per-second", description = "How many are begun a second; 0 for a closed loop")
	private double perSecond;

	@Parameter(names = "--timeout", converter = DurationConverter.class, description = "How long a request may take")
	private Duration timeout = Duration.ofSeconds(60);

	@Parameter(names = "--chat-share", description = "The share of chats, from 0 to 1; the rest are plain calls")
	private double chatShare = 1;

	@Parameter(names = "--streamed-share", description = "The share of streamed ones among the chats")
	private double streamedShare = 1;

	@Parameter(names = "--model", description = "The model that chats name")
	private String model = "plans";

	@Parameter(names = "--answer-model", description = "The model whose text is checked; empty for no check")
	private @Nullable String answerModel;

	@Parameter(names = "--prompt-words", description = "How many words a prompt has")
	private int promptWords = 100;

	@Parameter(names = "--prefixes", description = "How many shared beginnings there are among the prompts")
	private int prefixes = 8;

	@Parameter(names = "--max-tokens", description = "How many tokens a chat asks for")
	private int maxTokens = 32;

	@Parameter(names = "--call-path", description = "The path of plain calls at the system")
	private String callPath = "/services/orders/bookings";

	@Parameter(names = "--direct-call-path", description = "The path of plain calls at the plain service")
	private String directCallPath = "/bookings";

	@Parameter(names = "--key-prefix", description = "The beginning of idempotency keys; default: new for each run")
	private @Nullable String keyPrefix;

	@Parameter(names = "--without-keys", description = "Send plain calls without idempotency keys")
	private boolean withoutKeys;

	@Parameter(names = "--credential", splitter = WholeValueSplitter.class,
			description = "An account's credential for the system; may be repeated, also to weight an account")
	private List<String> credentials = new ArrayList<>();

	@Parameter(names = "--seed", description = "The seed of everything random")
	private long seed = 1;

	@Parameter(names = "--json", description = "Print the report as JSON instead of a table")
	private boolean json;

	@Override
	public ExitCode run(PrintStream output) throws IOException, InterruptedException {
		try (LoadRun run = new LoadRun(options())) {
			LoadReport report = run.run();
			output.println(this.json ? Json.MAPPER.writeValueAsString(report) : report.toTable());
			return report.allCompleteAndCorrect() ? ExitCode.SUCCESS : ExitCode.FAILURE;
		}
	}

	private LoadOptions options() {
		String prefix = (this.keyPrefix != null) ? this.keyPrefix
				: "load-" + InstantSource.system().millis() + "-" + this.seed + "-";
		try {
			URI system = URI.create(this.target);
			return new LoadOptions(new LoadOptions.Side(system, this.model, system, this.callPath), directSide(),
					new LoadOptions.Volume(this.requests, this.warmUp, this.concurrency, this.perSecond, this.timeout),
					new LoadOptions.Chats(this.chatShare, this.streamedShare, this.promptWords, this.prefixes,
							this.maxTokens, (this.answerModel != null) ? this.answerModel : this.model),
					new LoadOptions.Calls(prefix, !this.withoutKeys), this.credentials, this.seed);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(ex.getMessage(), ex);
		}
	}

	private LoadOptions.@Nullable Side directSide() {
		String engine = (this.direct != null) ? this.direct : this.directService;
		if (engine == null) {
			return null;
		}
		URI service = URI.create((this.directService != null) ? this.directService : engine);
		return new LoadOptions.Side(URI.create(engine), this.model, service, this.directCallPath);
	}

}
