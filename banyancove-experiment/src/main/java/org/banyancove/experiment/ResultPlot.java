package org.banyancove.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Plots, for each policy, the cost per 1,000 requests that met the targets as a bar
 * chart.
 */
final class ResultPlot {

	private static final int WIDTH = 1200;

	private static final int HEIGHT = 700;

	private ResultPlot() {
	}

	static void write(List<RunResult> results, Path file) {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Price of the engines' busy time per 1,000 requests that met the targets")
			.xAxisTitle("user and scenario")
			.yAxisTitle("price")
			.build();
		groupByPolicy(results)
			.forEach((policy, policyResults) -> chart.addSeries(policy, labels(policyResults), costs(policyResults)));
		try {
			BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write the plot to " + file, ex);
		}
	}

	private static Map<String, List<RunResult>> groupByPolicy(List<RunResult> results) {
		Map<String, List<RunResult>> resultsByPolicy = new LinkedHashMap<>();
		for (RunResult result : results) {
			resultsByPolicy.computeIfAbsent(result.policy(), (policy) -> new ArrayList<>()).add(result);
		}
		return resultsByPolicy;
	}

	private static List<String> labels(List<RunResult> results) {
		return results.stream().map((result) -> result.user() + " " + result.scenario() + " " + result.seed()).toList();
	}

	private static List<Double> costs(List<RunResult> results) {
		return results.stream().map(RunResult::busyCostPerThousandMet).toList();
	}

}
