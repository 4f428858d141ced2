package org.banyancove.gateway.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the gateways' topic and writes the address of this gateway there unless the
 * topic already contains it.
 * <p>
 * Each record ends the long polls of all gateways. If all gateways wrote their addresses
 * again after a restart of the whole fleet, the number of reads would grow with the
 * square of its size.
 */
final class AddressAnnouncement implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(AddressAnnouncement.class);

	/** Delay until a failed write is retried, in case the record was lost. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

	private final GatewayAddress ownAddress;

	private final TopicFollower.Listener directory;

	private final TopicStore topics;

	private final EventLoop eventLoop;

	private boolean announced;

	/**
	 * Creates the announcement.
	 * @param ownAddress the address of this gateway
	 * @param directory receives the addresses of the other gateways
	 * @param topics the store
	 * @param eventLoop the event loop that runs all work
	 */
	AddressAnnouncement(GatewayAddress ownAddress, TopicFollower.Listener directory, TopicStore topics,
			EventLoop eventLoop) {
		this.ownAddress = ownAddress;
		this.directory = directory;
		this.topics = topics;
		this.eventLoop = eventLoop;
	}

	@Override
	public void changed(TopicRecord entry) {
		byte[] value = entry.value();
		if (entry.key().equals(this.ownAddress.name()) && value != null) {
			this.announced = new String(value, StandardCharsets.UTF_8).equals(this.ownAddress.format());
			return;
		}
		this.directory.changed(entry);
	}

	@Override
	public void readThrough(long nextOffset) {
		this.directory.readThrough(nextOffset);
		if (!this.announced) {
			this.announced = true;
			write();
		}
	}

	// Retries without a limit: until a write succeeds, the other gateways do not discover
	// this one.
	private void write() {
		byte[] value = this.ownAddress.format().getBytes(StandardCharsets.UTF_8);
		this.topics.append(Topic.GATEWAYS, this.ownAddress.name(), value).whenComplete((outcome, failure) -> {
			if (outcome == null) {
				log.atWarn().addKeyValue("cause", String.valueOf(failure)).log("address not written");
				this.eventLoop.schedule(this::write, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

}
