package org.banyancove.gateway.exchange;

import org.banyancove.gateway.duty.DemandEstimator;
import org.banyancove.gateway.duty.UsageCounter;

/**
 * The meters of requests, apart from logs and metrics.
 *
 * @param usage counts the requests that began to run, for each client account
 * @param demand estimates the engine time that requests need
 */
public record Meters(UsageCounter usage, DemandEstimator demand) {
}
