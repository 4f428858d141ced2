/**
 * Rollouts that move a service's traffic from a baseline version to a candidate version.
 * <p>
 * The decisions perform no I/O: which versions may serve a request, whether the candidate
 * is healthy, and the next step of a rollout.
 */
@NullMarked
package org.banyancove.gateway.rollout;

import org.jspecify.annotations.NullMarked;
