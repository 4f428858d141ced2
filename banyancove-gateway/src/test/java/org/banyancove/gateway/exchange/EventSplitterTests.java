package org.banyancove.gateway.exchange;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class EventSplitterTests {

	private final EventSplitter splitter = new EventSplitter(null);

	@Test
	void passesWholeEventsOnlyHoweverTheBytesCome() {
		String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
		StringBuilder passed = new StringBuilder();
		for (int i = 0; i < stream.length(); i++) {
			String event = read(stream.substring(i, i + 1));
			assertThat(event).satisfiesAnyOf((text) -> assertThat(text).isEmpty(),
					(text) -> assertThat(text).endsWith("\n"));
			passed.append(event);
		}
		assertThat(passed).hasToString(stream);
		assertThat(this.splitter.clean()).isTrue();
		assertThat(this.splitter.lastEvent()).isEqualTo("3");
	}

	// An engine breaks off within an event; another one goes on after the last whole
	// event, and repeats one that the caller has. The caller gets each event once.
	@Test
	void aTornEventIsDroppedAndARepeatedOneLeftOut() {
		assertThat(read("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.splitter.clean()).isFalse();
		this.splitter.restart();
		assertThat(read("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
	}

	@Test
	void eventsWithoutIdentifiersPass() {
		assertThat(read("data: a\n\n: note\n\n")).isEqualTo("data: a\n\n: note\n\n");
	}

	@Test
	void anEventWithoutAnEndIsRefused() {
		String much = "x".repeat(1 << 20);
		read(much);
		assertThatIllegalStateException().isThrownBy(() -> read("y")).withMessageContaining("1048576");
	}

	private String read(String text) {
		return new String(this.splitter.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)),
				StandardCharsets.US_ASCII);
	}

}
