package org.banyancove.core.planner;

import java.time.Duration;
import java.util.Objects;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.ledger.RecordId;

/**
 * A record of the stream of leases.
 */
public sealed interface LeaseRecord {

	/** The log's stream of leases. */
	String STREAM_NAME = "leases";

	/**
	 * The maximum duration of a lease without a renewal: a reader of the records of this
	 * duration at the end of the stream has read a record of every current lease.
	 */
	Duration MAXIMUM_DURATION = Duration.ofMinutes(10);

	/**
	 * Returns the identifier by which the author recognizes the record.
	 * @return the identifier
	 */
	RecordId id();

	/**
	 * Returns the data center of the lease.
	 * @return the data center
	 */
	DataCenterName dataCenter();

	/**
	 * Returns the process that wrote the record.
	 * @return the author
	 */
	Incarnation author();

	/**
	 * A process requests the lease; the record's offset becomes the fencing number if the
	 * process wins it.
	 *
	 * @param id the record's identifier
	 * @param dataCenter the data center
	 * @param author the process that requests the lease
	 * @param duration the duration of the lease without a renewal, by the log's times
	 */
	record Acquired(RecordId id, DataCenterName dataCenter, Incarnation author,
			Duration duration) implements LeaseRecord {

		public Acquired {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(dataCenter, "dataCenter");
			Objects.requireNonNull(author, "author");
			if (!duration.isPositive() || duration.compareTo(MAXIMUM_DURATION) > 0) {
				throw new IllegalArgumentException("duration must be positive and at most PT10M: " + duration);
			}
		}

	}

	/**
	 * The holder renews the lease.
	 *
	 * @param id the record's identifier
	 * @param dataCenter the data center
	 * @param author the holder
	 * @param fence the lease's fencing number
	 * @param duration the duration of the lease without another renewal
	 */
	record Renewed(RecordId id, DataCenterName dataCenter, Incarnation author, long fence,
			Duration duration) implements LeaseRecord {

		public Renewed {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(dataCenter, "dataCenter");
			Objects.requireNonNull(author, "author");
			if (fence < 0) {
				throw new IllegalArgumentException("fence must not be negative: " + fence);
			}
			if (!duration.isPositive() || duration.compareTo(MAXIMUM_DURATION) > 0) {
				throw new IllegalArgumentException("duration must be positive and at most PT10M: " + duration);
			}
		}

	}

	/**
	 * The holder resigns the lease, so that another process need not wait until it
	 * expires.
	 *
	 * @param id the record's identifier
	 * @param dataCenter the data center
	 * @param author the holder
	 * @param fence the lease's fencing number
	 */
	record Resigned(RecordId id, DataCenterName dataCenter, Incarnation author, long fence) implements LeaseRecord {

		public Resigned {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(dataCenter, "dataCenter");
			Objects.requireNonNull(author, "author");
			if (fence < 0) {
				throw new IllegalArgumentException("fence must not be negative: " + fence);
			}
		}

	}

}
