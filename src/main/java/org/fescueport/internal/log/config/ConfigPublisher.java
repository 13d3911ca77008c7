package org.fescueport.internal.log.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.decision.config.FileState;
import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.port.LogService;
import org.fescueport.port.LogService.Entry;
import org.fescueport.port.PlatformException;

/**
 * Publishes changes by compare-and-set: appends them with nonces, reads them back, and tells what
 * the fold made of them. A lost acknowledgement is settled by the nonces. For one thread at a time.
 *
 * <pre>{@code
 * var publisher = ConfigPublisher.create(log, "release-42", UUID::randomUUID);
 * publisher.catchUp().join();
 * var results = publisher.publish(List.of(publisher.change(file))).join();
 * }</pre>
 */
public final class ConfigPublisher {
    private static final int PAGE_RECORDS = 500;
    private static final int TRIES = 3;

    private final LogService mLog;
    private final String mName;
    private final Supplier<UUID> mNonces;
    private final Set<UUID> mPublished = new HashSet<>();
    private final Map<UUID, Verdict> mVerdicts = new HashMap<>();
    private final List<FileState> mRemembered = new ArrayList<>();
    private String mRememberedFile = "";
    private final ConfigTail mTail = new ConfigTail(this::onRecord);

    private ConfigPublisher(LogService log, String name, Supplier<UUID> nonces) {
        mLog = log;
        mName = name;
        mNonces = nonces;
    }

    /** Returns a publisher that signs its changes with {@code name}. */
    public static ConfigPublisher create(LogService log, String name, Supplier<UUID> nonces) {
        return new ConfigPublisher(log, name, nonces);
    }

    /** Remembers every version of this file that {@link #catchUp} meets. */
    public void remember(String file) {
        mRememberedFile = file;
    }

    /** Returns the versions that were met, oldest first. */
    public List<FileState> remembered() {
        return List.copyOf(mRemembered);
    }

    /** Reads the stream to its end and returns its fold. */
    public CompletableFuture<ConfigFold> catchUp() {
        return mLog.read(ConfigTail.STREAM, mTail.nextRead(), PAGE_RECORDS)
                .thenCompose(
                        page ->
                                switch (mTail.take(page)) {
                                    case MORE -> catchUp();
                                    case CAUGHT_UP ->
                                            CompletableFuture.completedFuture(mTail.fold());
                                    case GAP ->
                                            failed("records are gone and no snapshot covers them");
                                    case LOG_BEHIND ->
                                            failed("the log lost records that were read");
                                });
    }

    /** Returns the change that makes this file current, made from the version caught up with. */
    public ConfigRecord.Change change(DeclarationFile file) {
        return change(file.name(), Optional.of(file), mTail.fold().file(file.name()).version());
    }

    /** Returns a change made from this base; without content it removes the file. */
    public ConfigRecord.Change change(String file, Optional<DeclarationFile> content, long base) {
        return new ConfigRecord.Change(file, base, content, mName, mNonces.get());
    }

    /** Appends the changes as one block and tells what became of each, in their order. */
    public CompletableFuture<List<PublishResult>> publish(List<ConfigRecord.Change> changes) {
        changes.forEach(change -> mPublished.add(change.nonce()));
        return append(changes, 1);
    }

    private CompletableFuture<List<PublishResult>> append(
            List<ConfigRecord.Change> changes, int attempt) {
        var block = new ArrayList<byte[]>();
        changes.forEach(change -> block.add(ConfigCodec.encode(change)));
        return mLog.append(ConfigTail.STREAM, block)
                .handle((offset, failure) -> afterAppend(changes, attempt, failure))
                .thenCompose(next -> next);
    }

    private CompletableFuture<List<PublishResult>> afterAppend(
            List<ConfigRecord.Change> changes, int attempt, Throwable failure) {
        if (failure != null && surelyNotHappened(failure) && attempt == 1) {
            return results(changes, (file, nonce) -> notPublished(file, failure));
        }
        return catchUp()
                .handle((fold, readFailure) -> afterRead(changes, attempt, failure, readFailure))
                .thenCompose(next -> next);
    }

    private CompletableFuture<List<PublishResult>> afterRead(
            List<ConfigRecord.Change> changes, int attempt, Throwable failure, Throwable unread) {
        var found = changes.stream().allMatch(change -> mVerdicts.containsKey(change.nonce()));
        if (found) {
            return results(changes, this::judged);
        }
        // A second copy harms nothing: its base is no longer current if the first was accepted.
        if (unread == null && failure != null && attempt < TRIES) {
            return append(changes, attempt + 1);
        }
        var why = unread != null ? unread : failure;
        return results(
                changes,
                (file, nonce) ->
                        mVerdicts.containsKey(nonce)
                                ? judged(file, nonce)
                                : new PublishResult.Unknown(file, message(why)));
    }

    private interface Reporter {
        PublishResult report(String file, UUID nonce);
    }

    private static CompletableFuture<List<PublishResult>> results(
            List<ConfigRecord.Change> changes, Reporter reporter) {
        return CompletableFuture.completedFuture(
                changes.stream().map(c -> reporter.report(c.file(), c.nonce())).toList());
    }

    private PublishResult judged(String file, UUID nonce) {
        return new PublishResult.Judged(file, mVerdicts.get(nonce));
    }

    private static PublishResult notPublished(String file, Throwable failure) {
        return new PublishResult.NotPublished(file, message(failure));
    }

    /** Of several copies of a change an accepted one counts, else the first. */
    private void onRecord(Entry entry, ConfigRecord record, Verdict verdict) {
        if (record instanceof ConfigRecord.Change change
                && verdict instanceof Verdict.Accepted accepted
                && change.file().equals(mRememberedFile)) {
            mRemembered.add(new FileState(accepted.version(), change.content()));
        }
        if (record instanceof ConfigRecord.Change change && mPublished.contains(change.nonce())) {
            if (verdict instanceof Verdict.Accepted) {
                mVerdicts.put(change.nonce(), verdict);
            } else {
                mVerdicts.putIfAbsent(change.nonce(), verdict);
            }
        }
    }

    private static boolean surelyNotHappened(Throwable failure) {
        return causeOf(failure) instanceof PlatformException e
                && e.effect() == PlatformException.Effect.NONE;
    }

    private static Throwable causeOf(Throwable failure) {
        var wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }

    private static String message(Throwable failure) {
        return failure == null
                ? "the record was not found in the log"
                : String.valueOf(causeOf(failure).getMessage());
    }

    private static CompletableFuture<ConfigFold> failed(String why) {
        return CompletableFuture.failedFuture(PlatformException.didNotHappen(why, null));
    }
}
