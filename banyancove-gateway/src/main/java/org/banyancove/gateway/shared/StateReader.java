package org.banyancove.gateway.shared;

import org.banyancove.core.EndpointId;
import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.endpoint.EndpointEntry;

/**
 * Reads the records that others write.
 */
public interface StateReader {

	/**
	 * Reads a configuration.
	 * @param value the record's content
	 * @return the configuration
	 * @throws org.banyancove.core.error.BanyancoveException if it cannot be read
	 */
	Configuration readConfiguration(byte[] value);

	/**
	 * Returns whether a record holds the configuration.
	 * @param key the record's key
	 * @return whether it does
	 */
	boolean isConfiguration(String key);

	/**
	 * Reads what an endpoint says of itself.
	 * @param id the endpoint
	 * @param value the record's content
	 * @return the entry
	 * @throws org.banyancove.core.error.BanyancoveException if it names no endpoint to
	 * use
	 */
	EndpointEntry readEndpoint(EndpointId id, byte[] value);

}
