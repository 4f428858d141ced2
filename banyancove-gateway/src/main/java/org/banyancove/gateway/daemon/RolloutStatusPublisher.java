package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.RecordCodec;
import org.banyancove.gateway.shared.RecordCodec.StatusRecord;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicPage;
import org.banyancove.gateway.shared.TopicStore;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the states of rollouts to the status topic, where operators read them.
 * <p>
 * Each write is conditional on the end of the topic that was read immediately before. A
 * write whose response is lost and that the store applies seconds later therefore cannot
 * overwrite a newer state.
 */
final class RolloutStatusPublisher {

	private static final Logger log = LoggerFactory.getLogger(RolloutStatusPublisher.class);

	/** Delay between two attempts. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	private final TopicStore topics;

	private final RecordCodec codec;

	private final Map<ServiceName, StatusRecord> published = new HashMap<>();

	private final Map<ServiceName, Long> lastAttemptAt = new HashMap<>();

	private final Set<ServiceName> pendingWrites = new HashSet<>();

	RolloutStatusPublisher(TopicStore topics, RecordCodec codec) {
		this.topics = topics;
		this.codec = codec;
	}

	/**
	 * Writes the state of a rollout unless the topic already contains it.
	 * @param rollout the rollout
	 * @param now the current time of the monotonic clock
	 */
	void publish(Rollout rollout, long now) {
		ServiceName service = rollout.order().service();
		StatusRecord desired = this.codec.writeStatus(rollout);
		if (sameContent(this.published.get(service), desired) || this.pendingWrites.contains(service) || now
				- this.lastAttemptAt.getOrDefault(service, now - RETRY_DELAY.toNanos()) < RETRY_DELAY.toNanos()) {
			return;
		}
		this.pendingWrites.add(service);
		this.lastAttemptAt.put(service, now);
		this.topics.readLatest(Topic.STATUS, null).whenComplete((page, failure) -> {
			if (page == null) {
				this.pendingWrites.remove(service);
				log.atWarn().addKeyValue("service", service).addKeyValue("cause", failure).log("rollout status unread");
			}
			else if (contains(page, desired)) {
				this.pendingWrites.remove(service);
				this.published.put(service, desired);
			}
			else {
				append(rollout, desired, page.nextOffset());
			}
		});
	}

	private void append(Rollout rollout, StatusRecord desired, long end) {
		ServiceName service = rollout.order().service();
		this.topics.appendAt(Topic.STATUS, desired.key(), desired.value(), end).whenComplete((outcome, failure) -> {
			this.pendingWrites.remove(service);
			if (outcome instanceof AppendOutcome.Appended) {
				this.published.put(service, desired);
			}
			log.atInfo()
				.addKeyValue("service", service)
				.addKeyValue("stage", rollout.stage())
				.addKeyValue("outcome", outcome)
				.addKeyValue("cause", (failure != null) ? failure.toString() : null)
				.log("rollout status written");
		});
	}

	private static boolean contains(TopicPage page, StatusRecord desired) {
		return page.records()
			.stream()
			.anyMatch((entry) -> entry.key().equals(desired.key()) && Arrays.equals(entry.value(), desired.value()));
	}

	private static boolean sameContent(@Nullable StatusRecord current, StatusRecord desired) {
		return current != null && Arrays.equals(current.value(), desired.value());
	}

}
