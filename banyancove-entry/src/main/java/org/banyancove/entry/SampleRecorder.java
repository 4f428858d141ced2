package org.banyancove.entry;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.burn.RequestSample;
import org.banyancove.program.ObjectiveMetrics;
import org.banyancove.program.RequestSampleJson;
import org.jspecify.annotations.Nullable;

/**
 * Counts finished requests against the objectives of their profiles, and writes them to a
 * file for the burn report if the settings name one.
 */
final class SampleRecorder implements AutoCloseable {

	private final RequestSampleJson json = new RequestSampleJson();

	private final ObjectiveMetrics metrics;

	private final @Nullable PrintWriter writer;

	SampleRecorder(PrometheusRegistry registry, @Nullable String file) {
		this.metrics = new ObjectiveMetrics(registry);
		this.writer = (file != null) ? open(Path.of(file)) : null;
	}

	void add(RequestSample sample) {
		this.metrics.add(sample);
		if (this.writer != null) {
			this.writer.println(this.json.write(sample));
		}
	}

	@Override
	public void close() {
		if (this.writer != null) {
			this.writer.close();
		}
	}

	private static PrintWriter open(Path file) {
		try {
			return new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write samples to " + file, ex);
		}
	}

}
