import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * What was sent, answered and run, in the order of its times.
 */
final class CaseRecord implements AutoCloseable {

	private final long startedAt = System.nanoTime();

	private final PrintWriter writer;

	CaseRecord(Path file) throws IOException {
		this.writer = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
	}

	synchronized void add(String what, String requestId, String text) {
		this.writer.printf("%9.3f s  %-9s %-12s %s%n", (System.nanoTime() - this.startedAt) / 1e9, what,
				(requestId != null) ? requestId : "-", text);
		this.writer.flush();
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
