package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.SharedTopics;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the gateways' topic, and writes this gateway's address there unless it stands
 * there already.
 * <p>
 * Each record wakes every gateway that waits for one. If all wrote theirs again after all
 * processes died, the fleet's reads would grow with the square of its size.
 */
final class AddressAnnouncement implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(AddressAnnouncement.class);

	/** How often the address is written again, in case it was lost. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

	private final GatewayAddress own;

	private final TopicFollower.Listener directory;

	private final SharedTopics topics;

	private final EventLoop eventLoop;

	private boolean announced;

	/**
	 * Creates the announcement.
	 * @param own this gateway's address
	 * @param directory receives all addresses
	 * @param topics the store
	 * @param eventLoop runs everything
	 */
	AddressAnnouncement(GatewayAddress own, TopicFollower.Listener directory, SharedTopics topics,
			EventLoop eventLoop) {
		this.own = own;
		this.directory = directory;
		this.topics = topics;
		this.eventLoop = eventLoop;
	}

	@Override
	public void changed(TopicRecord entry) {
		byte[] value = entry.value();
		if (entry.key().equals(this.own.name()) && value != null) {
			this.announced = new String(value, StandardCharsets.UTF_8).equals(this.own.format());
			return;
		}
		this.directory.changed(entry);
	}

	@Override
	public void readThrough(long next) {
		if (!this.announced) {
			this.announced = true;
			write();
		}
	}

	// Until it succeeds, the other gateways don't know of this one.
	private void write() {
		byte[] value = this.own.format().getBytes(StandardCharsets.UTF_8);
		this.topics.append(Topic.GATEWAYS, this.own.name(), value).whenComplete((outcome, failure) -> {
			if (outcome == null) {
				log.atWarn().addKeyValue("cause", String.valueOf(failure)).log("address not written");
				this.eventLoop.schedule(this::write, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

}
