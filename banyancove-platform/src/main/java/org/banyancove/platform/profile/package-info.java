/**
 * The profiles stream on the platform's log: its JSON format and its client.
 */
@NullMarked
package org.banyancove.platform.profile;

import org.jspecify.annotations.NullMarked;
