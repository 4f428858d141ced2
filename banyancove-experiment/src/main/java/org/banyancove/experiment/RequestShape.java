package org.banyancove.experiment;

/**
 * The mean token counts of a kind of request.
 *
 * @param accountTokens the tokens of the prefix that all requests of an account share
 * @param documentTokens the tokens of the document, which several requests share
 * @param uniqueTokens the mean number of prompt tokens that no other request has
 * @param outputTokens the mean number of tokens of the answer
 */
record RequestShape(int accountTokens, int documentTokens, int uniqueTokens, int outputTokens) {

	/** The assumed cache miss ratio of shared prefixes. */
	private static final double CACHE_MISS_RATIO = 0.3;

	double uncachedTokens() {
		return this.uniqueTokens + CACHE_MISS_RATIO * (this.accountTokens + this.documentTokens);
	}

}
