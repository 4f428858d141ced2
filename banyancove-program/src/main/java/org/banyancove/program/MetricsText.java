package org.banyancove.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Exports the metrics of a process in Prometheus' text format, for a {@code /metrics}
 * handler.
 */
public final class MetricsText {

	private final PrometheusRegistry registry;

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	/**
	 * Creates the export for a registry.
	 * @param registry the registry of the process's metrics
	 */
	public MetricsText(PrometheusRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Returns the media type of {@link #text()}.
	 * @return the value for the {@code Content-Type} header
	 */
	public String contentType() {
		return this.writer.getContentType();
	}

	/**
	 * Returns the current values. Can be called from any thread.
	 * @return the metrics as text
	 */
	public String text() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			this.writer.write(bytes, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write the metrics", ex);
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
