package org.banyancove.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.peer.PeerLogRecord;
import org.banyancove.core.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerTransportTests {

	private static final Incarnation SELF = new Incarnation(new VmId("vm-1"), 1);

	private static final int MAXIMUM_FRAME_BYTES = 1000;

	private static final long TIMEOUT_SECONDS = 20;

	private static final int SLOW_MESSAGE = 99;

	private static final Duration SHORT_SILENCE = Duration.ofMillis(400);

	/**
	 * The silence timeout of tests of other properties. A message is lost if its
	 * connection is closed for silence while it is sent, and a thread may wait longer
	 * than the short timeout for a processor.
	 */
	private static final Duration LONG_SILENCE = Duration.ofSeconds(TIMEOUT_SECONDS);

	private static final TransportSettings SETTINGS = settings(LONG_SILENCE);

	private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

	private PeerTransport sender = new PeerTransport(SETTINGS, new Random(1), (message) -> {
	});

	private PeerTransport receiver = new PeerTransport(SETTINGS, new Random(2), this.received::add);

	@AfterEach
	void closeBoth() {
		this.sender.close();
		this.receiver.close();
	}

	@Test
	void messagesArriveInOrder() throws Exception {
		String address = listen(0);
		for (int number = 0; number < 20; number++) {
			assertThat(this.sender.send(address, message(number, ""))).isTrue();
		}
		for (int number = 0; number < 20; number++) {
			assertThat(next()).isEqualTo(message(number, ""));
		}
		assertThat(this.sender.counters().connections()).isEqualTo(1);
	}

	/*
	 * Guards against peers that appear dead because a network device between them has
	 * lost its state of a connection. The proxy keeps the first connection open and
	 * discards its bytes, so that keep-alives are not answered. The sender must close the
	 * connection after the silence timeout and open a new one for the next message.
	 */
	@Test
	void connectionIsReplacedAfterTheSilenceTimeout() throws Exception {
		replaceBoth(SHORT_SILENCE);
		String address = listen(0);
		try (BlackHoleProxy proxy = new BlackHoleProxy(portOf(address))) {
			String proxyAddress = "127.0.0.1:" + proxy.port();
			this.sender.send(proxyAddress, message(1, ""));
			await(() -> this.sender.counters().timedOut() == 1);
			this.sender.send(proxyAddress, message(2, ""));
			assertThat(next()).isEqualTo(message(2, ""));
			assertThat(this.sender.counters().connections()).isEqualTo(2);
		}
	}

	@Test
	void idleConnectionWithKeepAlivesStaysOpen() throws Exception {
		replaceBoth(SHORT_SILENCE);
		String address = listen(0);
		this.sender.send(address, message(1, ""));
		next();
		long before = this.receiver.counters().receivedBytes();
		await(() -> this.receiver.counters().receivedBytes() > before + 400);
		this.sender.send(address, message(2, ""));
		next();
		assertThat(this.sender.counters().connections()).isEqualTo(1);
		assertThat(this.sender.counters().timedOut()).isZero();
	}

	/*
	 * Guards against messages that are lost although they have arrived: a thread that
	 * waits longer than the silence timeout finds the timeout due before it has read what
	 * its peers sent meanwhile, and closes their connections.
	 */
	@Test
	void silenceOfTheReceiversOwnThreadClosesNoConnection() throws Exception {
		this.receiver.close();
		this.receiver = new PeerTransport(settings(SHORT_SILENCE), new Random(2), this::receiveSlowly);
		String address = listen(0);
		try (PeerTransport other = new PeerTransport(SETTINGS, new Random(3), (message) -> {
		})) {
			this.sender.send(address, message(1, ""));
			assertThat(next()).isEqualTo(message(1, ""));
			other.send(address, message(SLOW_MESSAGE, ""));
			assertThat(next()).isEqualTo(message(SLOW_MESSAGE, ""));
			this.sender.send(address, message(2, ""));
			assertThat(next()).isEqualTo(message(2, ""));
		}
		assertThat(this.receiver.counters().timedOut()).isZero();
		assertThat(this.sender.counters().connections()).isEqualTo(1);
	}

	@Test
	void messageOverTheFrameLimitIsDropped() throws Exception {
		String address = listen(0);
		assertThat(this.sender.send(address, message(1, "x".repeat(MAXIMUM_FRAME_BYTES)))).isFalse();
		this.sender.send(address, message(2, ""));
		assertThat(next()).isEqualTo(message(2, ""));
		assertThat(this.sender.counters().dropped()).isEqualTo(1);
	}

	/*
	 * Other software sends bytes that are not a message: a frame length beyond the limit,
	 * a frame that cannot be parsed and an empty frame. Each of its connections must be
	 * closed, and the connections of peers must stay open.
	 */
	@Test
	void malformedBytesCloseOnlyTheirConnection() throws Exception {
		String address = listen(0);
		this.sender.send(address, message(1, ""));
		next();
		assertThat(isClosedAfter(address, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII))).isTrue();
		assertThat(isClosedAfter(address, new byte[] { 0, 0, 0, 3, -1, -1, -1 })).isTrue();
		assertThat(isClosedAfter(address, new byte[] { 0, 0, 0, 0 })).isTrue();
		assertThat(this.receiver.counters().malformed()).isEqualTo(3);
		this.sender.send(address, message(2, ""));
		assertThat(next()).isEqualTo(message(2, ""));
		assertThat(this.sender.counters().connections()).isEqualTo(1);
	}

	/*
	 * A peer's process stops and another one starts at the same address. Messages sent in
	 * between are queued, and messages must arrive after the reconnect.
	 */
	@Test
	void senderReconnectsToARestartedPeer() throws Exception {
		String address = listen(0);
		this.sender.send(address, message(1, ""));
		next();
		this.receiver.close();
		this.sender.send(address, message(2, ""));
		this.receiver = new PeerTransport(SETTINGS, new Random(3), this.received::add);
		listen(portOf(address));
		int number = 3;
		PeerMessage last = null;
		while (last == null) {
			this.sender.send(address, message(number, ""));
			last = this.received.poll(100, TimeUnit.MILLISECONDS);
			number++;
		}
		assertThat(last).isInstanceOf(PeerMessage.LogRecordsRelay.class);
	}

	@Test
	void messageIsRejectedWhenTheQueueIsFull() throws Exception {
		int unused = unusedPort();
		int accepted = 0;
		for (int number = 0; number < 300; number++) {
			if (this.sender.send("127.0.0.1:" + unused, message(number, ""))) {
				accepted++;
			}
		}
		assertThat(accepted).isEqualTo(SETTINGS.maximumQueued());
		assertThat(this.sender.counters().dropped()).isEqualTo(200);
	}

	@Test
	void listeningOnAnAddressInUseFails() {
		String address = listen(0);
		assertThatExceptionOfType(BanyancoveException.class)
			.isThrownBy(
					() -> this.sender.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), portOf(address))))
			.withMessageContaining("Cannot listen for peers");
	}

	@Test
	void closeWritesQueuedMessages() throws Exception {
		String address = listen(0);
		this.sender.send(address, message(0, ""));
		next();
		for (int number = 1; number < 50; number++) {
			this.sender.send(address, message(number, ""));
		}
		this.sender.close();
		for (int number = 1; number < 50; number++) {
			assertThat(next()).isEqualTo(message(number, ""));
		}
	}

	private void receiveSlowly(PeerMessage message) {
		this.received.add(message);
		if (message.equals(message(SLOW_MESSAGE, ""))) {
			LockSupport.parkNanos(SHORT_SILENCE.multipliedBy(2).toNanos());
		}
	}

	private void replaceBoth(Duration silenceTimeout) {
		closeBoth();
		this.sender = new PeerTransport(settings(silenceTimeout), new Random(1), (message) -> {
		});
		this.receiver = new PeerTransport(settings(silenceTimeout), new Random(2), this.received::add);
	}

	private static TransportSettings settings(Duration silenceTimeout) {
		return new TransportSettings(MAXIMUM_FRAME_BYTES, 100, Duration.ofSeconds(1), Duration.ofMillis(50),
				silenceTimeout, Duration.ofMinutes(1), Duration.ofMillis(10), Duration.ofMillis(100));
	}

	private String listen(int port) {
		return "127.0.0.1:"
				+ this.receiver.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).getPort();
	}

	private PeerMessage next() throws InterruptedException {
		PeerMessage message = this.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(message).isNotNull();
		return message;
	}

	private static boolean isClosedAfter(String address, byte[] bytes) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), portOf(address))) {
			socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
			socket.getOutputStream().write(bytes);
			return socket.getInputStream().read() < 0;
		}
	}

	private static int portOf(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
			Thread.sleep(5);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private static PeerMessage message(int number, String data) {
		return new PeerMessage.LogRecordsRelay(SELF, new DataCenterName("north1").value(), 0, number + 1L,
				List.of(new PeerLogRecord(number, "id", data)));
	}

}
