package org.banyancove.standins.support;

import org.banyancove.standins.engine.EngineFault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FaultSwitches}.
 */
class FaultSwitchesTests {

	private final FaultSwitches<EngineFault> switches = new FaultSwitches<>(EngineFault.class);

	// Guards against engines that crash on a prompt such as "Plan 0" with no fault
	// enabled: the text of a disabled switch was "0", which is a word of the prompt.
	@Test
	void textOfDisabledSwitchIsEmpty() {
		assertThat(this.switches.text(EngineFault.CRASH_ON_WORD)).isEmpty();
		this.switches.set(EngineFault.CRASH_ON_WORD, false);
		assertThat(this.switches.text(EngineFault.CRASH_ON_WORD)).isEmpty();
	}

	@Test
	void textOfEnabledSwitchIsReturnedAsSet() {
		this.switches.set(EngineFault.CRASH_ON_WORD, "0");
		assertThat(this.switches.text(EngineFault.CRASH_ON_WORD)).isEqualTo("0");
	}

}
