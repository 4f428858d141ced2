package org.banyancove.burn;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyancove.core.burn.BurnRow;
import org.banyancove.core.burn.WindowBurn;

/**
 * The report as a JSON document.
 *
 * @param at the time of the report
 * @param rows the burn rates by profile and account; the account {@code *} stands for the
 * total of all accounts
 */
record BurnDocument(String at, List<Row> rows) {

	static BurnDocument of(Instant at, List<BurnRow> rows) {
		return new BurnDocument(at.toString(), rows.stream().map(Row::of).toList());
	}

	void write(Path file) {
		try {
			JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build().writeValue(file.toFile(), this);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot write " + file, ex);
		}
	}

	record Row(String profile, String account, double objective, List<Window> windows, List<String> alarms) {

		static Row of(BurnRow row) {
			return new Row(row.key().profile().value(), row.key().accountLabel(), row.objective(),
					row.windows().stream().map(Window::of).toList(),
					row.alarms().stream().sorted().map((alarm) -> alarm.name().toLowerCase(Locale.ROOT)).toList());
		}

	}

	record Window(String window, long total, long missed, double rate, double budgetSpent) {

		static Window of(WindowBurn burn) {
			return new Window(burn.window().label(), burn.total(), burn.missed(), burn.rate(), burn.budgetSpent());
		}

	}

}
