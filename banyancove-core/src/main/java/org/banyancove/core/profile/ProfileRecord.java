package org.banyancove.core.profile;

import org.banyancove.core.ServiceName;

/**
 * A record of the profiles stream.
 */
public sealed interface ProfileRecord {

	/**
	 * A change requested by an operator. The decision is made when the stream is read:
	 * the change is accepted if the object still has the revision on which it is based.
	 */
	sealed interface Change extends ProfileRecord {

		/**
		 * Returns the record's identifier, by which duplicates are recognized.
		 * @return the identifier
		 */
		String recordId();

		/**
		 * Returns the revision on which the change is based.
		 * @return the offset of the object's last accepted change, or
		 * {@link ProfileTable#NO_REVISION} to create it
		 */
		long expectedRevision();

	}

	/**
	 * Creates or replaces a profile.
	 *
	 * @param recordId the record's identifier
	 * @param expectedRevision the revision on which the change is based
	 * @param profile the new profile
	 */
	record ProfileChanged(String recordId, long expectedRevision, Profile profile) implements Change {

	}

	/**
	 * Creates or replaces a service.
	 *
	 * @param recordId the record's identifier
	 * @param expectedRevision the revision on which the change is based
	 * @param service the new service
	 */
	record ServiceChanged(String recordId, long expectedRevision, ServiceDefinition service) implements Change {

	}

	/**
	 * Retires a service: new requests are refused and accepted ones complete.
	 *
	 * @param recordId the record's identifier
	 * @param expectedRevision the revision on which the change is based
	 * @param service the service
	 */
	record ServiceRetired(String recordId, long expectedRevision, ServiceName service) implements Change {

	}

	/**
	 * The state of the stream at an offset, written by any reader before retention
	 * removes the records that it replaces.
	 *
	 * @param state the state with its offset
	 */
	record ProfilesCheckpoint(ProfileTableState state) implements ProfileRecord {

		/**
		 * Returns the offset of the last record that the state contains.
		 * @return the offset
		 */
		public long throughOffset() {
			return this.state.throughOffset();
		}

	}

}
