package org.banyancove.core.profile;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The state of the profiles stream at an offset, which is the same at every reader.
 *
 * @param throughOffset the offset of the last contained record, or -1 if there is none
 * @param profiles the profiles, by name
 * @param services the services, by name
 * @param decided the changes decided within the last {@link ProfileTable#DECIDED_WINDOW}
 * offsets, by offset
 * @param lastCheckpoint the last contained checkpoint, or {@code null} if there is none
 */
public record ProfileTableState(long throughOffset, List<PublishedProfile> profiles, List<PublishedService> services,
		List<DecidedChange> decided, @Nullable CheckpointMark lastCheckpoint) {

	/**
	 * Creates the state with immutable copies of its lists.
	 */
	public ProfileTableState {
		profiles = List.copyOf(profiles);
		services = List.copyOf(services);
		decided = List.copyOf(decided);
	}

}
