package org.banyancove.gateway.shared;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.jspecify.annotations.Nullable;

/**
 * Reads the records of operators and endpoints, and writes status records for operators.
 */
public interface RecordCodec {

	/**
	 * Reads a configuration.
	 * @param value the record value
	 * @return the configuration
	 * @throws org.banyancove.core.error.BanyancoveException if the value is invalid
	 */
	Configuration readConfiguration(byte[] value);

	/**
	 * Returns whether a key is that of the configuration.
	 * @param key the record key
	 * @return {@code true} for the key of the configuration
	 */
	boolean isConfiguration(String key);

	/**
	 * Reads an order to roll out another version of a service.
	 * @param key the record key
	 * @param value the record value
	 * @param offset the offset in the topic
	 * @return the order, or {@code null} if the record is of another kind
	 * @throws org.banyancove.core.error.BanyancoveException if the value is invalid
	 */
	@Nullable RolloutOrder readRollout(String key, byte[] value, long offset);

	/**
	 * Writes the status of a rollout for operators.
	 * @param rollout the rollout
	 * @return the key and value of the record
	 */
	StatusRecord writeStatus(Rollout rollout);

	/**
	 * Reads the registration of an endpoint.
	 * @param id the endpoint id
	 * @param value the record value
	 * @return the endpoint entry
	 * @throws org.banyancove.core.error.BanyancoveException if it describes no usable
	 * endpoint
	 */
	EndpointEntry readEndpoint(EndpointId id, byte[] value);

	/**
	 * A status record for operators.
	 *
	 * @param key the record key
	 * @param value the record value
	 */
	@SuppressWarnings("ArrayRecordComponent")
	record StatusRecord(String key, byte[] value) {
	}

}
