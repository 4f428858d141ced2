package org.banyancove.distribution;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the dependency rules of modules and packages.
 */
class ModuleRulesTests {

	private static final JavaClasses CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.banyancove");

	@Test
	void corePerformsNoInputOrOutputAndStartsNoThread() {
		assertThat(CLASSES).isNotEmpty();
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.banyancove.core..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.io..", "java.nio.file..", "java.nio.channels..", "java.net..",
					"java.util.concurrent..", "javax..", "com..", "io..", "org.slf4j..")
			.check(CLASSES);
	}

	@Test
	void coreDependsOnNoOtherModule() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.banyancove.core..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.banyancove.wire..", "org.banyancove.program..", "org.banyancove.platform..",
					"org.banyancove.transport..", "org.banyancove.entry..", "org.banyancove.operate..",
					"org.banyancove.planner..", "org.banyancove.burn..", "org.banyancove.standins..",
					"org.banyancove.experiment..", "org.banyancove.http..", "org.banyancove.gateway..")
			.check(CLASSES);
	}

	@Test
	void httpDependsOnNoOtherModuleThanCore() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.banyancove.http..")
			.should()
			.dependOnClassesThat(JavaClass.Predicates.resideInAPackage("org.banyancove..")
				.and(JavaClass.Predicates.resideOutsideOfPackages("org.banyancove.http..", "org.banyancove.core..")))
			.check(CLASSES);
	}

	@Test
	void noProgramDependsOnStandIns() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackage("org.banyancove.standins..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.banyancove.standins..")
			.check(CLASSES);
	}

	@Test
	void noProductClassStartsAProcess() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.haveFullyQualifiedName(ProcessBuilder.class.getName())
			.check(CLASSES);
	}

	@Test
	void corePackagesHaveNoCycles() {
		SlicesRuleDefinition.slices().matching("org.banyancove.core.(*)..").should().beFreeOfCycles().check(CLASSES);
	}

}
