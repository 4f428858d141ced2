package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionAdmissionTests {

	private final EmbeddedChannel server = new EmbeddedChannel();

	private final AtomicInteger closedUnread = new AtomicInteger();

	private long now;

	private final ConnectionAdmission admission = new ConnectionAdmission(this.server.eventLoop(), () -> this.now,
			this.closedUnread::incrementAndGet);

	// Guards against callers that lose their connection since many came at once, such as
	// after a pause of the VM.
	@Test
	void connectionsThatCameAtOnceAreAdmittedInTheirOrder() {
		List<Channel> connections = add(50);
		for (int turn = 0; turn < 50; turn++) {
			assertThat(connections.get(turn).config().isAutoRead()).isTrue();
			assertThat(connections.stream().filter((each) -> each.config().isAutoRead())).hasSize(turn + 1);
			turn(Duration.ofMillis(11));
		}
		assertThat(this.closedUnread).hasValue(0);
	}

	// Guards against connections that wait behind more and more others for as long as the
	// gateway is overloaded.
	@Test
	void connectionsThatWaitTooLongAreClosedWhileTheGatewayIsOverloaded() {
		for (int turn = 0; turn < 200; turn++) {
			add(3);
			turn(Duration.ofMillis(10));
		}
		this.closedUnread.set(0);
		List<Channel> latest = add(3);
		for (int turn = 0; turn < 12; turn++) {
			add(3);
			turn(Duration.ofMillis(10));
		}
		assertThat(latest).allMatch((each) -> each.config().isAutoRead() || !each.isOpen());
		assertThat(this.closedUnread.get()).isBetween(20, 30);
	}

	private void turn(Duration duration) {
		this.now += duration.toNanos();
		this.server.runScheduledPendingTasks();
	}

	private List<Channel> add(int count) {
		List<Channel> added = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			EmbeddedChannel connection = new EmbeddedChannel();
			connection.config().setAutoRead(false);
			this.admission.add(connection);
			added.add(connection);
		}
		return added;
	}

}
