package org.banyancove.entry;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;

import org.banyancove.core.entry.AnswerPart;
import org.banyancove.core.entry.AttemptRequest;
import org.banyancove.core.entry.EntryCommand;
import org.banyancove.core.entry.EntryCore;
import org.banyancove.core.entry.EntrySettings;
import org.banyancove.core.entry.TraceLine;
import org.banyancove.platform.json.RecordMapper;
import org.banyancove.platform.profile.ProfileRecordCodec;
import org.banyancove.program.SettingsReader;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays traces of a running entry through the core and compares the answers with those
 * that the callers received.
 */
class TraceReplayTests {

	private static final int TOKENS = 20;

	// A caller requests a plan, books a delivery and repeats the booking with the same
	// key. The plan must be complete and the booking must run once: its intent and its
	// outcome are in the log, so the repeated call returns the stored answer.
	@Test
	void repeatedCallReturnsTheStoredAnswer() throws Exception {
		Replay replay = Replay.of("booking");
		replay.assertOneCompletePlan();
		List<AnswerPart.PlainResponse> answers = replay.parts(AnswerPart.PlainResponse.class).toList();
		assertThat(answers).extracting(AnswerPart.PlainResponse::repeated).containsExactly(false, true);
		assertThat(answers).extracting(AnswerPart.PlainResponse::body).containsOnly(answers.getFirst().body());
		assertThat(replay.attempts(AttemptRequest.PlainCall.class)).isEqualTo(1);
	}

	// The connection to the engine fails after five tokens of a streamed plan. The entry
	// must request the remaining tokens from the same engine over a new connection
	// before it has any token recomputed, and the caller's stream must have no gap.
	@Test
	void interruptedStreamIsReattachedOverANewConnection() throws Exception {
		Replay replay = Replay.of("cut");
		replay.assertOneCompletePlan();
		assertThat(replay.attempts(AttemptRequest.Generate.class)).isEqualTo(1);
		assertThat(replay.attempts(AttemptRequest.Reattach.class)).isEqualTo(1);
		assertThat(replay.attempts(AttemptRequest.Continue.class)).isZero();
	}

	/**
	 * A replayed run.
	 */
	private static final class Replay {

		private final List<EntryCommand> commands = new ArrayList<>();

		static Replay of(String name) throws IOException, URISyntaxException {
			Replay replay = new Replay();
			RecordMapper<TraceLine> mapper = new RecordMapper<>(TraceLine.class);
			AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
			EntrySettings settings = EntryDaemon
				.coreSettings(new SettingsReader().read(resource("entry.toml"), EntryProgramSettings.class));
			EntryCore core = null;
			for (String line : Files.readAllLines(resource(name + ".jsonl"))) {
				switch (mapper.read(line)) {
					case TraceLine.Start start -> {
						now.set(start.at());
						core = new EntryCore(start.identity(), settings, new ProfileRecordCodec(), now::get,
								RandomGeneratorFactory.of(EntryDaemon.RANDOM_ALGORITHM).create(start.seed()),
								replay.commands::add);
					}
					case TraceLine.Handled handled -> {
						now.set(handled.at());
						Objects.requireNonNull(core).handle(handled.event());
					}
				}
			}
			return replay;
		}

		<T extends AnswerPart> Stream<T> parts(Class<T> type) {
			return this.commands.stream()
				.filter(EntryCommand.Deliver.class::isInstance)
				.map((command) -> ((EntryCommand.Deliver) command).part())
				.filter(type::isInstance)
				.map(type::cast);
		}

		long attempts(Class<? extends AttemptRequest> type) {
			return this.commands.stream()
				.filter((command) -> command instanceof EntryCommand.StartAttempt start
						&& type.isInstance(start.content()))
				.count();
		}

		void assertOneCompletePlan() {
			long next = 0;
			for (AnswerPart.Text text : parts(AnswerPart.Text.class).toList()) {
				assertThat(text.fromOffset()).isEqualTo(next);
				next = text.toOffset();
			}
			assertThat(next).isEqualTo(TOKENS);
			assertThat(parts(AnswerPart.EndOfText.class)).extracting(AnswerPart.EndOfText::tokens)
				.containsExactly((long) TOKENS);
			assertThat(parts(AnswerPart.Failure.class)).isEmpty();
		}

		private static Path resource(String name) throws URISyntaxException {
			return Path.of(Objects.requireNonNull(TraceReplayTests.class.getResource("/traces/" + name)).toURI());
		}

	}

}
