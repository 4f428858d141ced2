package org.banyancove.burn;

import java.awt.Color;
import java.awt.Font;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Locale;
import java.util.TimeZone;

import org.banyancove.core.burn.BurnAlarm;
import org.banyancove.core.burn.BurnKey;
import org.banyancove.core.burn.BurnPoint;
import org.banyancove.core.burn.BurnTable;
import org.banyancove.core.burn.BurnWindow;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.XYStyler;
import org.knowm.xchart.style.lines.SeriesLines;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Plots the burn rate of each profile over three days.
 */
final class BurnPlot {

	private static final int WIDTH = 1100;

	private static final int HEIGHT = 560;

	private static final int AXIS_LABEL_FONT_SIZE = 11;

	private static final Duration SAMPLING_INTERVAL = Duration.ofMinutes(10);

	/** A rate of 0 cannot be drawn on a logarithmic axis. */
	private static final double MINIMUM_RATE = 0.1;

	private BurnPlot() {
	}

	static void write(BurnTable table, List<BurnKey> keys, Instant end, Path file) {
		System.setProperty("java.awt.headless", "true");
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Burn rate over 1 h, three days until " + end)
			.xAxisTitle("time (UTC)")
			.yAxisTitle("burn rate (1 consumes exactly the error budget)")
			.build();
		applyStyle(chart.getStyler());
		for (BurnKey key : keys) {
			addSeries(chart, label(key), table.history(key, BurnWindow.ONE_HOUR, SAMPLING_INTERVAL));
		}
		for (BurnAlarm alarm : BurnAlarm.values()) {
			addThreshold(chart, alarm, end);
		}
		try {
			BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write " + file, ex);
		}
	}

	private static void applyStyle(Styler styler) {
		styler.setLegendPosition(Styler.LegendPosition.OutsideE);
		styler.setChartBackgroundColor(Color.WHITE);
		if (styler instanceof XYStyler xyStyler) {
			xyStyler.setYAxisLogarithmic(true);
			xyStyler.setYAxisMin(MINIMUM_RATE);
			xyStyler.setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, AXIS_LABEL_FONT_SIZE));
			xyStyler.setDatePattern("d MMM HH:mm");
			xyStyler.setTimezone(TimeZone.getTimeZone("UTC"));
			xyStyler.setPlotGridLinesColor(new Color(225, 225, 225));
		}
	}

	private static void addSeries(XYChart chart, String label, List<BurnPoint> points) {
		List<Date> times = points.stream().map((point) -> Date.from(point.at())).toList();
		List<Double> rates = points.stream().map((point) -> Math.max(MINIMUM_RATE, point.rate())).toList();
		chart.addSeries(label, times, rates).setMarker(SeriesMarkers.NONE);
	}

	private static void addThreshold(XYChart chart, BurnAlarm alarm, Instant end) {
		List<Date> times = List.of(Date.from(end.minus(BurnWindow.THREE_DAYS.length())), Date.from(end));
		String label = alarm.name().toLowerCase(Locale.ROOT) + " alarm from " + alarm.rate();
		XYSeries series = chart.addSeries(label, times, List.of(alarm.rate(), alarm.rate()));
		series.setMarker(SeriesMarkers.NONE);
		series.setLineStyle(SeriesLines.DASH_DASH);
		series.setLineColor((alarm == BurnAlarm.FAST) ? new Color(190, 30, 30) : new Color(70, 70, 70));
	}

	private static String label(BurnKey key) {
		return key.profile() + ((key.account() != null) ? " " + key.account() : "");
	}

}
