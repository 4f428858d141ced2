package org.banyancove.platform.lease;

import java.time.Duration;
import java.util.List;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.VmId;
import org.banyancove.core.ledger.RecordId;
import org.banyancove.core.planner.LeaseRecord;
import org.banyancove.platform.NewRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseRecordCodecTests {

	private static final DataCenterName NORTH = new DataCenterName("north1");

	private static final Incarnation AUTHOR = new Incarnation(new VmId("planner-1"), 0xfeedL);

	private static final RecordId ID = RecordId.of(AUTHOR, 7);

	private final LeaseRecordCodec codec = new LeaseRecordCodec();

	@Test
	void everyRecordSurvivesARoundTrip() {
		Duration lease = Duration.ofSeconds(15);
		for (LeaseRecord record : List.of(new LeaseRecord.Acquired(ID, NORTH, AUTHOR, lease),
				new LeaseRecord.Renewed(ID, NORTH, AUTHOR, 4, lease), new LeaseRecord.Resigned(ID, NORTH, AUTHOR, 4))) {
			NewRecord written = this.codec.newRecord(record);
			assertThat(written.id()).isEqualTo(ID.value());
			assertThat(this.codec.decode(written.data())).isEqualTo(record);
		}
	}

	// A newer version or a faulty tool writes a record that this version cannot read.
	// Planners must continue after it; otherwise no lease could be renewed and no VM be
	// started.
	@Test
	void unreadableRecordsAreIgnored() {
		String written = this.codec.newRecord(new LeaseRecord.Renewed(ID, NORTH, AUTHOR, 4, Duration.ofSeconds(1)))
			.data();
		for (String data : List.of("not json", "[]", "null", "{}", "{\"kind\":\"Later\"}", "{\"kind\":\"Acquired\"}",
				"{\"kind\":\"Resigned\",\"fence\":3}", written.replace("PT1S", "PT0S"), written.replace("PT1S", "soon"),
				written.replace("\"fence\":4", "\"fence\":-4"), written.replace("#feed", ""))) {
			assertThat(this.codec.decode(data)).as(data).isNull();
		}
	}

}
