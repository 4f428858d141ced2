package org.banyancove.core.profile;

/**
 * A published profile with its revision.
 *
 * @param revision the offset of its last accepted change
 * @param profile the profile
 */
public record PublishedProfile(long revision, Profile profile) {

}
