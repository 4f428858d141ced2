package org.banyancove.core.profile;

/**
 * The service and profile under which a request was accepted. They apply for the duration
 * of the request, also if operators publish changes.
 *
 * @param serviceRevision the service's revision at acceptance
 * @param service the service
 * @param profileRevision the profile's revision at acceptance
 * @param profile the profile
 */
public record RequestTerms(long serviceRevision, ServiceDefinition service, long profileRevision, Profile profile) {

}
