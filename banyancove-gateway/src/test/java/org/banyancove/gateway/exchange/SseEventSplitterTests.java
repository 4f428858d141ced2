package org.banyancove.gateway.exchange;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class SseEventSplitterTests {

	private final SseEventSplitter splitter = new SseEventSplitter(null);

	@Test
	void emitsOnlyCompleteEventsForAnyByteBoundaries() {
		String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
		StringBuilder emitted = new StringBuilder();
		for (int i = 0; i < stream.length(); i++) {
			String event = read(stream.substring(i, i + 1));
			assertThat(event).satisfiesAnyOf((text) -> assertThat(text).isEmpty(),
					(text) -> assertThat(text).endsWith("\n"));
			emitted.append(event);
		}
		assertThat(emitted).hasToString(stream);
		assertThat(this.splitter.isAtEventBoundary()).isTrue();
		assertThat(this.splitter.lastEventId()).isEqualTo("3");
	}

	// Guards against truncated or duplicate events: an engine fails within an event, and
	// the engine that resumes the stream repeats an event that the caller has received.
	@Test
	void partialEventIsDiscardedAndDuplicateEventIsSkipped() {
		assertThat(read("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.splitter.isAtEventBoundary()).isFalse();
		this.splitter.discardPartialEvent();
		assertThat(read("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
	}

	@Test
	void eventsWithoutIdsAreEmitted() {
		assertThat(read("data: a\n\n: note\n\n")).isEqualTo("data: a\n\n: note\n\n");
	}

	@Test
	void eventBeyondTheMaximumSizeIsRejected() {
		String longText = "x".repeat(128 << 10);
		read(longText);
		assertThatIllegalStateException().isThrownBy(() -> read("y")).withMessageContaining("131072");
	}

	// Guards against an endpoint that takes all processor time and memory with an event
	// in
	// pieces of a byte.
	@Test
	void eventInPiecesOfAByteTakesNoMoreThanItsLength() {
		com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
		ByteBuf piece = Unpooled.wrappedBuffer(new byte[] { 'x' });
		long before = threads.getCurrentThreadAllocatedBytes();
		for (int i = 0; i < 60_000; i++) {
			this.splitter.read(piece);
		}
		assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(20L << 20);
		assertThat(read("\n\n")).hasSize(60_002);
	}

	private String read(String text) {
		return new String(this.splitter.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)),
				StandardCharsets.US_ASCII);
	}

}
