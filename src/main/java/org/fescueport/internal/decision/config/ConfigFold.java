package org.fescueport.internal.decision.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.Invariants;

/**
 * The configuration as a fold over the configuration stream: the state that results from applying
 * its records one by one.
 *
 * <p>Records are applied in the order of their offsets, and the result depends on nothing else, so
 * every node that has applied the same records has the same configuration. A change is accepted if
 * its base is the current version of its file and if it conflicts with no other file in force; its
 * offset becomes the new version. A snapshot record does not change the state: it allows another
 * node to start from it instead of from the first record. Not thread-safe.
 *
 * <pre>{@code
 * var fold = ConfigFold.empty();
 * fold.apply(1, change);          // Accepted[version=1]
 * fold.declarations().version();  // 1
 * }</pre>
 */
public final class ConfigFold {
    /** Offset of the first record that can be a change; version 0 means no configuration. */
    private static final long FIRST_OFFSET = 1;

    private static final int MAX_DIGESTS = 256;

    private final Map<String, FileState> mFiles = new HashMap<>();
    private final UniquenessIndex mUniquenessIndex = new UniquenessIndex();
    private final TreeMap<Long, Long> mDigestsByVersion = new TreeMap<>();
    private long mPosition = FIRST_OFFSET;
    private long mVersion;
    private long mDigest;
    private long mMismatchedSnapshots;
    private boolean mSeenNewerFormat;
    private VerdictCounts mCounts = VerdictCounts.ZERO;
    private Declarations mDeclarations = Declarations.none();

    private ConfigFold() {}

    /** Returns the fold of an empty stream. */
    public static ConfigFold empty() {
        return new ConfigFold();
    }

    /** Returns a fold with the state of a snapshot; the next record is at its position. */
    public static ConfigFold at(ConfigRecord.Snapshot snapshot) {
        var fold = new ConfigFold();
        fold.mPosition = snapshot.position();
        fold.mVersion = snapshot.version();
        fold.mCounts = snapshot.counts();
        snapshot.files().forEach(fold::put);
        fold.mDigestsByVersion.put(fold.mVersion, fold.mDigest);
        return fold;
    }

    /**
     * Applies the record at {@code offset}. A record below the current position has already been
     * applied and is ignored.
     *
     * @return the outcome for this record
     */
    public Verdict apply(long offset, ConfigRecord record) {
        if (offset < mPosition) {
            return new Verdict.NoChange();
        }
        mPosition = offset + 1;
        var verdict = evaluate(offset, record);
        mCounts = mCounts.plus(verdict);
        return verdict;
    }

    /** Skips offsets for which the log is known to hold no record. */
    public void skipTo(long position) {
        mPosition = Math.max(mPosition, position);
    }

    /** Returns the offset of the next record to apply. */
    public long position() {
        return mPosition;
    }

    /** Returns the offset of the last accepted change; 0 before the first. */
    public long version() {
        return mVersion;
    }

    /** Returns the state of a file; {@link FileState#ABSENT} if it was never declared. */
    public FileState file(String name) {
        return mFiles.getOrDefault(name, FileState.ABSENT);
    }

    /** Returns every file that was ever declared, including removed ones, by name. */
    public Map<String, FileState> files() {
        return Map.copyOf(mFiles);
    }

    /** Returns the number of changes and of unreadable records so far, by verdict. */
    public VerdictCounts counts() {
        return mCounts;
    }

    /** Returns the number of snapshot records that did not match the state of this fold. */
    public long mismatchedSnapshots() {
        return mMismatchedSnapshots;
    }

    /** Returns whether a record was skipped because a newer release had written its format. */
    public boolean hasSeenNewerFormat() {
        return mSeenNewerFormat;
    }

    /** Returns a snapshot of the state at the current position. */
    public ConfigRecord.Snapshot snapshot() {
        return new ConfigRecord.Snapshot(mPosition, mVersion, mFiles, mCounts);
    }

    /** Returns the declarations in force. */
    public Declarations declarations() {
        if (mDeclarations.version() != mVersion) {
            mDeclarations = DeclarationsBuilder.build(mVersion, mFiles.values());
        }
        return mDeclarations;
    }

    private Verdict evaluate(long offset, ConfigRecord record) {
        return switch (record) {
            case ConfigRecord.Change change -> evaluateChange(offset, change);
            case ConfigRecord.Snapshot snapshot -> verifySnapshot(offset, snapshot);
            case ConfigRecord.Opening opening -> new Verdict.NoChange();
            case ConfigRecord.Unreadable unreadable -> skipUnreadable(unreadable);
        };
    }

    private Verdict evaluateChange(long offset, ConfigRecord.Change change) {
        var current = file(change.file());
        // Version 0 means that the file was never declared; no accepted change has offset 0.
        if (change.base() != current.version()) {
            return new Verdict.Lost(current.version());
        }
        var conflicts = change.content().map(mUniquenessIndex::conflictsOf).orElse(List.of());
        if (!conflicts.isEmpty()) {
            return new Verdict.Refused(conflicts);
        }
        Invariants.check(offset > mVersion, "the configuration's version decreased");
        mVersion = offset;
        put(change.file(), new FileState(offset, change.content()));
        recordDigest();
        return new Verdict.Accepted(offset);
    }

    private Verdict skipUnreadable(ConfigRecord.Unreadable unreadable) {
        mSeenNewerFormat |= unreadable.newerFormat();
        return new Verdict.Skipped(unreadable.why());
    }

    private Verdict verifySnapshot(long offset, ConfigRecord.Snapshot snapshot) {
        var expectedDigest = Optional.ofNullable(mDigestsByVersion.get(snapshot.version()));
        var wrong =
                expectedDigest.isPresent() && expectedDigest.get() != digestOf(snapshot.files());
        if (wrong || snapshot.position() > offset) {
            mMismatchedSnapshots++;
        }
        return new Verdict.NoChange();
    }

    private void put(String name, FileState state) {
        var previous = mFiles.put(name, state);
        if (previous != null) {
            previous.content().ifPresent(mUniquenessIndex::remove);
            mDigest -= digestOf(name, previous);
        }
        state.content().ifPresent(mUniquenessIndex::add);
        mDigest += digestOf(name, state);
    }

    private void recordDigest() {
        mDigestsByVersion.put(mVersion, mDigest);
        if (mDigestsByVersion.size() > MAX_DIGESTS) {
            mDigestsByVersion.pollFirstEntry();
        }
    }

    private static long digestOf(Map<String, FileState> files) {
        var sum = 0L;
        for (var file : files.entrySet()) {
            sum += digestOf(file.getKey(), file.getValue());
        }
        return sum;
    }

    private static long digestOf(String name, FileState state) {
        var hash = (name.hashCode() * 0x9E3779B97F4A7C15L) ^ state.version();
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        return hash ^ (hash >>> 31);
    }
}
