package org.banyancove.entry;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;

import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.entry.TraceLine;
import org.banyancove.platform.json.RecordMapper;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records events as JSON lines: the entry's identity and random seed first, then one line
 * per event.
 */
final class JsonTraceRecorder implements TraceRecorder {

	private static final Logger logger = LoggerFactory.getLogger(JsonTraceRecorder.class);

	private final RecordMapper<TraceLine> mapper = new RecordMapper<>(TraceLine.class);

	private final PrintWriter writer;

	JsonTraceRecorder(Path file, TraceLine.Start start) {
		try {
			this.writer = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write events to " + file, ex);
		}
		this.writer.println(this.mapper.write(start));
	}

	@Override
	public void record(Instant at, EntryEvent event) {
		try {
			this.writer.println(this.mapper.write(new TraceLine.Handled(at, event)));
		}
		catch (IllegalArgumentException ex) {
			// Continue without the event: a trace with a gap is less useful, but an
			// event that is not handled leaves a request without an answer.
			logger.warn("Failed to record an event; the trace is incomplete", ex);
		}
	}

	@Override
	public void close() {
		this.writer.close();
	}

}
