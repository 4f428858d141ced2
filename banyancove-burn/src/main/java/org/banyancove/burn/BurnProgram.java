package org.banyancove.burn;

import java.io.PrintStream;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyancove.core.burn.BurnKey;
import org.banyancove.core.burn.BurnRow;
import org.banyancove.core.burn.BurnTable;
import org.banyancove.core.burn.RequestSample;
import org.banyancove.program.CommandLineProgram;
import org.banyancove.program.ExitCode;

/**
 * Reports the burn rates of service-level objectives from recorded traces or snapshots of
 * metrics.
 */
public final class BurnProgram extends CommandLineProgram<BurnSettings> {

	private final BurnOptions options = new BurnOptions();

	/**
	 * Creates the program.
	 * @param output the stream for the table
	 * @param errors the stream for the error line
	 */
	public BurnProgram(PrintStream output, PrintStream errors) {
		super("banyancove-burn", BurnSettings.class, output, errors);
	}

	/**
	 * Runs the program and ends the process.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new BurnProgram(System.out, System.err).execute(arguments).code());
	}

	@Override
	protected void configure(JCommander commander) {
		commander.addObject(this.options);
	}

	@Override
	protected ExitCode run(BurnSettings settings, JCommander commander) {
		if (this.options.traces.isEmpty() && this.options.metrics.isEmpty()) {
			throw new ParameterException("--trace or --metrics must be given");
		}
		List<RequestSample> samples = new ArrayList<>();
		this.options.traces.forEach((file) -> samples.addAll(new TraceReader().read(file)));
		List<MetricsReader.Increase> increases = new ArrayList<>();
		this.options.metrics.forEach((file) -> increases.addAll(new MetricsReader().read(file)));
		Instant end = endTime(samples, increases);
		BurnTable table = new BurnTable(end, settings::objective);
		samples.forEach(table::add);
		increases.forEach((increase) -> add(table, increase));
		report(table, end);
		return ExitCode.SUCCESS;
	}

	private void report(BurnTable table, Instant end) {
		List<BurnRow> rows = table.rows();
		output().println("Service-level burn rates at " + end);
		output().println(BurnTableFormatter.format(rows));
		if (this.options.json != null) {
			BurnDocument.of(end, rows).write(this.options.json);
		}
		if (this.options.plot != null) {
			List<BurnKey> profileKeys = rows.stream().map(BurnRow::key).filter((key) -> key.account() == null).toList();
			BurnPlot.write(table, profileKeys, end, this.options.plot);
		}
	}

	private Instant endTime(List<RequestSample> samples, List<MetricsReader.Increase> increases) {
		if (this.options.at != null) {
			try {
				return Instant.parse(this.options.at);
			}
			catch (DateTimeException ex) {
				throw new ParameterException("--at must be a time such as 2026-01-01T00:00:00Z: " + this.options.at);
			}
		}
		return Stream
			.concat(samples.stream().map(RequestSample::at), increases.stream().map(MetricsReader.Increase::at))
			.max(Comparator.naturalOrder())
			.orElseThrow(() -> new ParameterException("the files contain no requests"));
	}

	private static void add(BurnTable table, MetricsReader.Increase increase) {
		MetricsReader.Series series = increase.series();
		long missed = series.met() ? 0 : increase.requests();
		table.add(series.profile(), series.account(), increase.at(), increase.requests(), missed);
	}

}
