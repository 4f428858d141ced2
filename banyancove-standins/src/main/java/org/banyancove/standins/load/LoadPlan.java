package org.banyancove.standins.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyancove.standins.engine.ChatRequest;
import org.jspecify.annotations.Nullable;

/**
 * The sequence of requests of a load, which is determined by the seed. This class is
 * thread-safe.
 */
final class LoadPlan {

	private static final int VOCABULARY_SIZE = 4_096;

	private final LoadOptions options;

	private final UniformRandomProvider random;

	private final List<String> prefixes;

	private int nextIndex;

	LoadPlan(LoadOptions options) {
		this.options = options;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed());
		int prefixWords = options.chats().promptWords() * 3 / 4;
		this.prefixes = IntStream.range(0, options.chats().prefixes()).mapToObj((index) -> words(prefixWords)).toList();
	}

	/**
	 * Returns the next request.
	 * @return the request, or {@code null} after the last one
	 */
	synchronized @Nullable PlannedRequest next() {
		if (this.nextIndex >= this.options.volume().requests() + this.options.volume().warmUp()) {
			return null;
		}
		boolean chat = this.random.nextDouble() < this.options.chats().share();
		boolean streamed = this.random.nextDouble() < this.options.chats().streamedShare();
		List<ChatRequest.Message> messages = chat ? List.of(new ChatRequest.Message("user", prompt())) : List.of();
		PlannedRequest request = new PlannedRequest(this.nextIndex, chat && streamed, messages, credential(),
				this.random.nextBoolean());
		this.nextIndex++;
		return request;
	}

	private String prompt() {
		String prefix = this.prefixes.get(this.random.nextInt(this.prefixes.size()));
		int words = this.options.chats().promptWords();
		return prefix + " " + words(words - words * 3 / 4);
	}

	private @Nullable String credential() {
		List<String> credentials = this.options.credentials();
		return credentials.isEmpty() ? null : credentials.get(this.random.nextInt(credentials.size()));
	}

	private String words(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> "w" + this.random.nextInt(VOCABULARY_SIZE))
			.collect(Collectors.joining(" "));
	}

}
