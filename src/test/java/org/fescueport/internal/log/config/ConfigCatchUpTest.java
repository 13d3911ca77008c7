package org.fescueport.internal.log.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.ConfigRecords;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.junit.jupiter.api.Test;

/**
 * Folds 100,000 records at the size of the letter (1,200 teams, 6 models) and prints the figures.
 */
class ConfigCatchUpTest {
    private static final int RECORDS = 100_000;
    private static final int MODELS = 6;
    private static final int TEAM_FILES = 40;
    private static final int TEAMS_PER_FILE = 30;
    private static final int COPIES = 50;
    private static final long BUDGET_BYTES = 32L * 1024 * 1024;

    private final Random mRandom = new Random(11);
    private final Nodes mNodes = new Nodes(11);

    @Test
    void shouldCatchUpWithinTheControlBudgetOfMemory() {
        append();
        var appended = mNodes.mLog.kept("config");
        var bytes = appended.stream().mapToLong(entry -> entry.data().length).sum();

        var start = Clock.SYSTEM.monotonicTime();
        var fold = ConfigFold.empty();
        for (var entry : appended) {
            fold.apply(entry.offset(), ConfigCodec.decode(entry.data()));
        }
        var folded = Clock.SYSTEM.monotonicTime();
        fold.declarations();
        var built = Clock.SYSTEM.monotonicTime();
        var snapshot = ConfigCodec.encode(fold.snapshot());
        var held = heldBytes(snapshot);
        mNodes.mLog.append("config", List.of(snapshot));
        mNodes.mLog.dropBefore("config", fold.position() - 1_000);
        var startFresh = Clock.SYSTEM.monotonicTime();
        mNodes.start(1, 1).advance(200);
        var fresh = Clock.SYSTEM.monotonicTime();

        System.out.printf(
                "fold of %d records, %d kB: %d ms; declarations built in %d ms; %d kB held;"
                        + " snapshot %d kB; fresh node from snapshot and 1000 records: %d ms%n",
                RECORDS,
                bytes / 1_000,
                (folded - start) / 1_000_000,
                (built - folded) / 1_000_000,
                held / 1_000,
                snapshot.length / 1_000,
                (fresh - startFresh) / 1_000_000);
        assertThat(mNodes.mNodes.getFirst().mFollower.version(), is(fold.version()));
        assertThat(fold.counts().accepted() + fold.counts().lost(), is((long) RECORDS));
        assertThat(held, lessThan(BUDGET_BYTES));
    }

    private void append() {
        var fold = ConfigFold.empty();
        mNodes.mLog.append("config", List.of(ConfigCodec.encode(new ConfigRecord.Opening())));
        for (var offset = 1; offset <= RECORDS; offset++) {
            var file = offset <= TEAM_FILES ? teams(offset - 1) : randomFile();
            var stale = mRandom.nextInt(10) == 0;
            var base = stale ? 0 : fold.file(file.name()).version();
            var change = ConfigRecords.change(base, file, offset);
            fold.apply(offset, change);
            mNodes.mLog.append("config", List.of(ConfigCodec.encode(change)));
        }
    }

    private DeclarationFile randomFile() {
        return mRandom.nextInt(10) == 0
                ? teams(mRandom.nextInt(TEAM_FILES))
                : ConfigRecords.model("model-" + mRandom.nextInt(MODELS), 1 + mRandom.nextInt(300));
    }

    private DeclarationFile teams(int file) {
        var teams = new ArrayList<TeamDeclaration>();
        for (var i = 0; i < TEAMS_PER_FILE; i++) {
            var name = "team-" + (file * TEAMS_PER_FILE + i);
            var hash = Declarations.hashApiKey(name);
            var weight = 1 + mRandom.nextInt(9);
            teams.add(new TeamDeclaration(TeamId.of(name), weight, Set.of(hash), Set.of()));
        }
        return DeclarationFile.TeamsFile.of("teams-" + file, teams);
    }

    /** Returns the memory of one node's fold and declarations, as the mean of many. */
    private static long heldBytes(byte[] snapshot) {
        var before = usedBytes();
        var folds = new ArrayList<ConfigFold>();
        for (var i = 0; i < COPIES; i++) {
            var fold = ConfigFold.at((ConfigRecord.Snapshot) ConfigCodec.decode(snapshot));
            fold.declarations();
            folds.add(fold);
        }
        var held = (usedBytes() - before) / folds.size();
        assertThat(folds.getLast().files().size(), is(TEAM_FILES + MODELS));
        return held;
    }

    private static long usedBytes() {
        System.gc();
        var runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
