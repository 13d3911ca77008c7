package org.fescueport;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.fescueport", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
    @ArchTest
    static final ArchRule SHOULD_KEEP_DECISIONS_PURE =
            noClasses()
                    .that()
                    .resideInAPackage("..internal.decision..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio.channels..",
                            "java.util.concurrent.locks..",
                            "io.netty..",
                            "org.apache.hc..",
                            "org.slf4j..",
                            "..internal.wire..",
                            "..internal.http..",
                            "org.fescueport.port..");

    @ArchTest
    static final ArchRule SHOULD_POINT_ARROWS_ONE_WAY =
            layeredArchitecture()
                    .consideringOnlyDependenciesInAnyPackage("org.fescueport..")
                    .withOptionalLayers(true)
                    .layer("wire")
                    .definedBy("..internal.wire..")
                    .layer("port")
                    .definedBy("org.fescueport.port..", "..internal.port..")
                    .layer("log")
                    .definedBy("..internal.log..")
                    .layer("facade")
                    .definedBy("org.fescueport")
                    .layer("fleet")
                    .definedBy("..internal.fleet..")
                    .layer("router")
                    .definedBy("..internal.router..")
                    .layer("agent")
                    .definedBy("..internal.agent..")
                    .layer("tools")
                    .definedBy("..internal.ctl..", "..internal.load..", "..internal.standin..")
                    .whereLayer("facade")
                    .mayNotBeAccessedByAnyLayer()
                    .whereLayer("router")
                    .mayOnlyBeAccessedByLayers("facade")
                    .whereLayer("agent")
                    .mayOnlyBeAccessedByLayers("facade")
                    .whereLayer("wire")
                    .mayOnlyBeAccessedByLayers("log", "fleet", "router", "agent", "tools")
                    .whereLayer("log")
                    .mayOnlyBeAccessedByLayers("fleet", "router", "agent", "tools")
                    .whereLayer("fleet")
                    .mayOnlyBeAccessedByLayers("router", "agent")
                    .as("arrows between layers");

    @ArchTest
    static final ArchRule SHOULD_READ_TIME_FROM_THE_INJECTED_CLOCK =
            noClasses()
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Thread.class, "sleep", long.class)
                    .orShould()
                    .callMethod(java.time.Instant.class, "now");

    @ArchTest
    static final ArchRule SHOULD_START_NO_PROCESS =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.ProcessBuilder")
                    .orShould()
                    .callMethod(Runtime.class, "exec", String.class);
}
