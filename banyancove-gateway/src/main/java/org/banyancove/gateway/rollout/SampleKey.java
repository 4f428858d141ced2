package org.banyancove.gateway.rollout;

/**
 * The key by which samples are aggregated.
 *
 * @param order the offset of the rollout's order
 * @param route the route of the requests
 * @param candidate whether the candidate or the baseline served them
 */
public record SampleKey(long order, String route, boolean candidate) {
}
