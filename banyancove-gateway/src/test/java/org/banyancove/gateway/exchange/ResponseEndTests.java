package org.banyancove.gateway.exchange;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.tunnel.ConnectContext;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseEndTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	/** More than the buffers of both sockets hold. */
	private static final int LONG_REQUEST_BYTES = 8_000_000;

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1,
			NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.eventLoops.next();

	private final ServerSocket server = newServerSocket();

	private volatile boolean partitioned;

	private volatile boolean writesFail;

	private final ConnectionPool connections = new ConnectionPool(this.eventLoop, System::nanoTime,
			FailingChannel::new);

	private final Response response = new Response();

	private static ServerSocket newServerSocket() {
		try {
			ServerSocket created = new ServerSocket();
			created.setReceiveBufferSize(4096);
			created.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			return created;
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
		this.eventLoops.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
	}

	// Guards against a truncated response that looks complete because its connection was
	// reset while the request was still being written.
	@Test
	void responseWithoutLengthIsIncompleteAfterAResetWhileTheRequestIsWritten() throws Exception {
		Socket accepted = sendLongRequest();
		ScriptedEndpoint.write(accepted, HEAD + "hel");
		awaitBody("hel");
		reset(accepted);
		assertThat(this.response.end.get(5, TimeUnit.SECONDS)).isEqualTo("BROKEN_ANSWER");
	}

	// Guards against the same through a tunnel, which would pass on an orderly end.
	@Test
	void responseWithoutLengthIsIncompleteAfterAResetBehindATunnel() throws Exception {
		openTunnelServer();
		Socket accepted = sendLongRequest();
		ScriptedEndpoint.write(accepted, HEAD + "hel");
		awaitBody("hel");
		reset(accepted);
		assertThat(this.response.end.get(5, TimeUnit.SECONDS)).isEqualTo("BROKEN_ANSWER");
	}

	// Guards against a truncated response that looks complete because a write failed
	// before the end of the stream was read.
	@Test
	void responseWithoutLengthIsIncompleteIfAWriteFailsBeforeTheEndIsRead() throws Exception {
		Socket accepted = sendLongRequest();
		ScriptedEndpoint.write(accepted, HEAD + "hel");
		awaitBody("hel");
		this.writesFail = true;
		this.eventLoop.submit(() -> {
			accepted.shutdownOutput();
			// Makes the connection writable, which the event loop handles before the end.
			return accepted.getInputStream().readNBytes(LONG_REQUEST_BYTES / 8);
		}).sync();
		assertThat(this.response.end.get(5, TimeUnit.SECONDS)).isEqualTo("BROKEN_ANSWER");
	}

	// Guards against a complete response that is discarded because its request had not
	// been read to the end.
	@Test
	void responseWithoutLengthIsCompleteAfterAnOrderlyEndWhileTheRequestIsWritten() throws Exception {
		Socket accepted = sendLongRequest();
		ScriptedEndpoint.write(accepted, HEAD + "hello");
		accepted.shutdownOutput();
		assertThat(this.response.end.get(5, TimeUnit.SECONDS)).isEqualTo("completed: hello");
	}

	// Guards against the same through a tunnel.
	@Test
	void responseWithoutLengthIsCompleteAfterAnOrderlyEndBehindATunnel() throws Exception {
		openTunnelServer();
		Socket accepted = sendLongRequest();
		ScriptedEndpoint.write(accepted, HEAD + "hello");
		accepted.shutdownOutput();
		assertThat(this.response.end.get(5, TimeUnit.SECONDS)).isEqualTo("completed: hello");
	}

	private Socket sendLongRequest() throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.server.getLocalSocketAddress();
		ConnectContext context = new ConnectContext(new ServiceName("service"), 1, "1", new NoOpRequestLog());
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
				Unpooled.wrappedBuffer(new byte[LONG_REQUEST_BYTES]));
		HttpUtil.setContentLength(request, LONG_REQUEST_BYTES);
		this.eventLoop
			.submit(() -> this.connections.call(address, request,
					new CallOptions(TIMEOUT, TIMEOUT, new ConnectionLimit(10, 10), context), this.response))
			.sync();
		Socket accepted = this.server.accept();
		accepted.getInputStream().readNBytes(1000);
		return accepted;
	}

	private void openTunnelServer() throws Exception {
		LoopbackTunnel.open(this.eventLoops, this.connections);
		this.partitioned = true;
	}

	private void awaitBody(String text) throws InterruptedException {
		while (!this.response.body.get().equals(text)) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	private static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	/**
	 * Records a response and its end.
	 */
	private static final class Response implements ResponseListener {

		private final AtomicReference<String> body = new AtomicReference<>("");

		private final CompletableFuture<String> end = new CompletableFuture<>();

		@Override
		public void head(HttpResponse head) {
		}

		@Override
		public void content(ByteBuf content) {
			this.body.accumulateAndGet(content.toString(StandardCharsets.US_ASCII), String::concat);
		}

		@Override
		public void completed() {
			this.end.complete("completed: " + this.body.get());
		}

		@Override
		public void failed(CallFailure failure) {
			this.end.complete(failure.name());
		}

	}

	/**
	 * A channel whose writes may fail, and that may be partitioned from the server.
	 */
	private final class FailingChannel extends NioSocketChannel {

		@Override
		protected boolean doConnect(SocketAddress remote, @Nullable SocketAddress local) throws Exception {
			if (ResponseEndTests.this.partitioned
					&& remote.equals(ResponseEndTests.this.server.getLocalSocketAddress())) {
				throw new ConnectException("partitioned from " + remote);
			}
			return super.doConnect(remote, local);
		}

		@Override
		protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
			if (ResponseEndTests.this.writesFail) {
				throw new IOException("Connection reset by peer");
			}
			super.doWrite(buffer);
		}

	}

}
