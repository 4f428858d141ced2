package org.banyancove.gateway.tunnel;

import java.io.IOException;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.banyancove.http.OrderlyEndHandler;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class OrderlyEndHandlerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel(new OrderlyEndHandler(), new ConnectingHandler());

	@Test
	void anOpenConnectionIsNotBroken() {
		assertThat(OrderlyEndHandler.isBroken(this.channel)).isFalse();
	}

	@Test
	void anOrderlyEndClosesTheConnection() {
		readEnd();
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(OrderlyEndHandler.isBroken(this.channel)).isFalse();
	}

	// Guards against a complete response that is discarded because a write failed after
	// its end was read.
	@Test
	void aFailureAfterAnOrderlyEndBreaksNothing() {
		readEnd();
		this.channel.pipeline().fireExceptionCaught(new IOException("Broken pipe"));
		assertThat(OrderlyEndHandler.isBroken(this.channel)).isFalse();
	}

	// Guards against a truncated response that looks complete because its connection was
	// closed by a failed write, of which no exception tells.
	@Test
	void aCloseWithoutAnEndBreaksTheConnection() {
		this.channel.close();
		readEnd();
		assertThat(OrderlyEndHandler.isBroken(this.channel)).isTrue();
	}

	// Guards against a truncated response that looks complete because the input is shut
	// down after a reset too.
	@Test
	void aResetBreaksTheConnectionThoughItsInputIsShutDown() {
		this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		readEnd();
		assertThat(OrderlyEndHandler.isBroken(this.channel)).isTrue();
	}

	// Guards against a channel without the handler, whose ends would all look orderly.
	@Test
	void aChannelWithoutTheHandlerIsRejected() {
		EmbeddedChannel other = new EmbeddedChannel();
		assertThatIllegalStateException().isThrownBy(() -> OrderlyEndHandler.isBroken(other))
			.withMessageContaining("channel must have");
	}

	private void readEnd() {
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
	}

}
