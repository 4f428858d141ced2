/**
 * Profiles and services that operators publish on the platform's log.
 */
@NullMarked
package org.banyancove.core.profile;

import org.jspecify.annotations.NullMarked;
