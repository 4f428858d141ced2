package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AddressAnnouncementTests {

	private static final GatewayAddress OWN = new GatewayAddress("own", new InetSocketAddress("10.1.0.16", 7500),
			new DataCenterName("a"), 0.27);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final RecordingTopics topics = new RecordingTopics();

	private final List<String> receivedKeys = new ArrayList<>();

	private final AddressAnnouncement announcement = new AddressAnnouncement(OWN,
			(entry) -> this.receivedKeys.add(entry.key()), this.topics, this.channel.eventLoop());

	@Test
	void writesAnAddressThatIsNotListed() {
		this.announcement.changed(record("other", "10.1.0.17:7500 a 0.27"));
		this.announcement.readThrough(1);
		this.announcement.readThrough(2);
		assertThat(this.topics.written).containsExactly("10.1.0.16:7500 a 0.27");
		assertThat(this.receivedKeys).containsExactly("other");
	}

	// Guards against a number of reads that grows with the square of the fleet when all
	// processes restart.
	@Test
	void writesNothingIfTheAddressIsListed() {
		this.announcement.changed(record("own", OWN.format()));
		this.announcement.readThrough(1);
		assertThat(this.topics.written).isEmpty();
	}

	@Test
	void replacesAnOutdatedAddress() {
		this.announcement.changed(record("own", "10.1.0.99:7500 a 0.27"));
		this.announcement.readThrough(1);
		assertThat(this.topics.written).hasSize(1);
	}

	@Test
	void retriesAFailedWrite() {
		this.topics.failing = true;
		this.announcement.readThrough(1);
		this.topics.failing = false;
		this.channel.advanceTimeBy(Duration.ofSeconds(3).toMillis(), TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.topics.written).hasSize(2);
	}

	private static TopicRecord record(String key, String value) {
		return new TopicRecord(0, key, value.getBytes(StandardCharsets.UTF_8));
	}

	private static final class RecordingTopics implements TopicStore {

		private final List<String> written = new ArrayList<>();

		private boolean failing;

		@Override
		public CompletableFuture<AppendOutcome> append(Topic topic, String key, byte[] value) {
			this.written.add(new String(value, StandardCharsets.UTF_8));
			return this.failing
					? CompletableFuture
						.failedFuture(new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, "no answer"))
					: CompletableFuture.completedFuture(new AppendOutcome.Appended(0));
		}

		@Override
		public CompletableFuture<TopicPage> readLatest(Topic topic, @Nullable String after) {
			throw new UnsupportedOperationException("newest");
		}

		@Override
		public CompletableFuture<TopicPage> readChanges(Topic topic, long from, Duration wait) {
			throw new UnsupportedOperationException("changes");
		}

		@Override
		public CompletableFuture<AppendOutcome> appendAt(Topic topic, String key, byte[] value, long expectedEnd) {
			throw new UnsupportedOperationException("appendAt");
		}

	}

}
