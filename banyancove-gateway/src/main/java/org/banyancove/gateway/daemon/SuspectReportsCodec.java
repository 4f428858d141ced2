package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import org.banyancove.core.EndpointId;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.quarantine.CrashObservation;
import org.banyancove.gateway.quarantine.SuspectReport;

/**
 * Writes and reads the reports on requests that may crash endpoints in binary form.
 */
final class SuspectReportsCodec {

	private SuspectReportsCodec() {
	}

	static void write(ByteBuf out, Map<Fingerprint, SuspectReport> reports) {
		BinaryFields.writeVarint(out, reports.size());
		reports.forEach((request, report) -> {
			out.writeLong(request.high());
			out.writeLong(request.low());
			BinaryFields.writeVarint(out, report.crashes().size());
			for (CrashObservation crash : report.crashes()) {
				BinaryFields.writeText(out, crash.endpoint().value());
				BinaryFields.writeVarint(out, crash.sentAge().toMillis());
				BinaryFields.writeVarint(out, crash.lostAge().toMillis());
			}
			out.writeBoolean(report.answeredAge() != null);
			if (report.answeredAge() != null) {
				BinaryFields.writeVarint(out, report.answeredAge().toMillis());
			}
		});
	}

	static Map<Fingerprint, SuspectReport> read(ByteBuf in) {
		Map<Fingerprint, SuspectReport> reports = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			Fingerprint request = new Fingerprint(in.readLong(), in.readLong());
			List<CrashObservation> crashes = new ArrayList<>();
			for (int left = BinaryFields.readCount(in); left > 0; left--) {
				crashes.add(new CrashObservation(new EndpointId(BinaryFields.readText(in)), readMillis(in),
						readMillis(in)));
			}
			reports.put(request, new SuspectReport(crashes, in.readBoolean() ? readMillis(in) : null));
		}
		return reports;
	}

	private static Duration readMillis(ByteBuf in) {
		return Duration.ofMillis(BinaryFields.readVarint(in));
	}

}
