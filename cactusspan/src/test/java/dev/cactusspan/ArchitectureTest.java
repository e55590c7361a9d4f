package dev.cactusspan;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.peer.NodeDirectory;
import org.junit.jupiter.api.Test;

/** Checks the rules on dependencies between packages. */
final class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("dev.cactusspan");

    @Test
    void shouldKeepDecisionsApartFromSocketsThreadsAndClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "dev.cactusspan.routing",
                        "dev.cactusspan.limit",
                        "dev.cactusspan.sample",
                        "dev.cactusspan.weight",
                        "dev.cactusspan.membership",
                        "dev.cactusspan.lease",
                        "dev.cactusspan.usage",
                        "dev.cactusspan.scaling",
                        "dev.cactusspan.placement",
                        "dev.cactusspan.region",
                        "dev.cactusspan.waiting",
                        "dev.cactusspan.capacity",
                        "dev.cactusspan.fleet",
                        "dev.cactusspan.forward",
                        "dev.cactusspan.intake",
                        "dev.cactusspan.overload",
                        "dev.cactusspan.chart",
                        "dev.cactusspan.id",
                        "dev.cactusspan.result")
                .and()
                .doNotHaveSimpleName("FutureResults")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.undertow..", "org.xnio..", "java.net.http..", "java.nio.channels..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .allowEmptyShould(true)
                .check(CLASSES);
    }

    /** The time of day may jump; whatever lasts or is due is measured by the steady clock. */
    @Test
    void shouldReadTheTimeOfDayOnlyWhereARuleNamesIt() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "dev.cactusspan.time",
                        "dev.cactusspan.command",
                        "dev.cactusspan.entry",
                        "dev.cactusspan.claim",
                        "dev.cactusspan.gateway",
                        "dev.cactusspan.standin..")
                .and()
                .doNotHaveSimpleName("UsageReporter")
                .and()
                .doNotHaveSimpleName("BatchAge")
                .and()
                .haveSimpleNameNotStartingWith("BatchManagerFactory")
                .and()
                .doNotHaveFullyQualifiedName(
                        "dev.cactusspan.batch.BatchManagerFactory$Dependencies")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("dev.cactusspan.time")
                .check(CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "dev.cactusspan.time", "dev.cactusspan.entry", "dev.cactusspan.standin..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    /** Only {@code TargetTable} and {@code RelayRule} know which regions bind a request. */
    @Test
    void shouldChooseTargetsAndProcessesForARequestOnlyWithItsResidency() {
        noClasses()
                .that()
                .resideInAnyPackage("dev.cactusspan.batch", "dev.cactusspan.forward")
                .should()
                .callMethod(TargetTable.class, "all")
                .orShould()
                .callMethod(TargetTable.class, "records", ServiceId.class)
                .orShould()
                .callMethod(TargetTable.class, "find", TargetId.class)
                .orShould()
                .callMethod(NodeDirectory.class, "all")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("dev.cactusspan.peer")
                .and()
                .doNotHaveSimpleName("RelayRule")
                .and()
                .doNotHaveSimpleName("NodeDirectory")
                .should()
                .callMethod(NodeDirectory.class, "all")
                .check(CLASSES);
    }

    @Test
    void shouldNotDependOnEntryOrCommandFromOtherPackages() {
        noClasses()
                .that()
                .resideOutsideOfPackages("dev.cactusspan.entry..", "dev.cactusspan.command..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("dev.cactusspan.entry..", "dev.cactusspan.command..")
                .check(CLASSES);
    }

    @Test
    void shouldHaveNoCyclesBelowTheProcesses() {
        slices().matching(
                        "dev.cactusspan.(link|http|routing|limit|membership|side|entry|command)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }
}
