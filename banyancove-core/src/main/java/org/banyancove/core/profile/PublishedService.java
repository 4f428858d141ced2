package org.banyancove.core.profile;

/**
 * A published service with its revision.
 *
 * @param revision the offset of its last accepted change
 * @param service the service
 */
public record PublishedService(long revision, ServiceDefinition service) {

}
