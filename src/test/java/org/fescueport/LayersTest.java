package org.fescueport;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

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
                    .layer("direct")
                    .definedBy("..internal.direct..")
                    .layer("adapter")
                    .definedBy("org.fescueport.platform..")
                    .whereLayer("direct")
                    .mayOnlyBeAccessedByLayers("adapter")
                    .whereLayer("facade")
                    .mayNotBeAccessedByAnyLayer()
                    .whereLayer("router")
                    .mayOnlyBeAccessedByLayers("facade")
                    .whereLayer("agent")
                    .mayOnlyBeAccessedByLayers("facade")
                    .whereLayer("wire")
                    .mayOnlyBeAccessedByLayers("log", "fleet", "router", "agent", "direct", "tools")
                    .whereLayer("log")
                    .mayOnlyBeAccessedByLayers("fleet", "router", "agent", "tools")
                    .whereLayer("fleet")
                    .mayOnlyBeAccessedByLayers("router", "agent")
                    .as("arrows between layers");

    @ArchTest
    static final ArchRule SHOULD_KEEP_THE_PLATFORM_BEHIND_ITS_ADAPTER =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.fescueport.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.fescueport.platform..");

    @ArchTest
    static final ArchRule SHOULD_REACH_REPLICAS_DIRECTLY_WITHOUT_AGENT_OR_LOG =
            noClasses()
                    .that()
                    .resideInAPackage("..internal.direct..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "..internal.agent..",
                            "..internal.fleet..",
                            "..internal.log..",
                            "..internal.router..",
                            "..internal.port..");

    @Test
    void shouldNamePlatformsWordsInTheAdapterAlone() throws IOException {
        var words =
                Pattern.compile("Fescueport-|keyed\\.(op|servers|status)|log-(append|read|newest)");
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            var leaks = files.filter(Files::isRegularFile).filter(f -> contains(f, words)).toList();
            assertThat(leaks, is(List.of()));
        }
    }

    private static boolean contains(Path file, Pattern words) {
        try {
            return words.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

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
