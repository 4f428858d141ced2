package org.banyancove.core.planner;

import org.banyancove.core.DataCenterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClientTokenTests {

	private static final DataCenterName POSTE = new DataCenterName("poste");

	private static final DataCenterName LAFAYETTE = new DataCenterName("poste-lafayette");

	private static final DataCenterName NUMBERED = new DataCenterName("poste-7");

	// The name of one data center is a prefix of another's. The cloud lists by prefix, so
	// the first one's planner also receives the other's VMs; if it counted them, it
	// would start too few VMs and stop those that the other needs.
	@Test
	void isOfReturnsFalseForDataCenterWithCommonPrefix() {
		ClientToken token = ClientToken.of(LAFAYETTE, 4, 0);
		assertThat(token.value()).startsWith(ClientToken.prefix(POSTE));
		assertThat(token.isOf(LAFAYETTE)).isTrue();
		assertThat(token.isOf(POSTE)).isFalse();
		assertThat(ClientToken.of(NUMBERED, 4, 0).isOf(POSTE)).isFalse();
		assertThat(ClientToken.of(POSTE, 7, 4).isOf(NUMBERED)).isFalse();
		assertThat(ClientToken.of(POSTE, 7, 4).isOf(POSTE)).isTrue();
	}

}
