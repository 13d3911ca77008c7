package org.fescueport.internal.decision.transfer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Ranking;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * The recently used chats whose KV caches this replica has held, so that it can hand over the most
 * valuable caches to other replicas before a planned shutdown. Keeps the most recently used chats,
 * up to a maximum number. This class is not thread-safe.
 *
 * @param <P> data that the agent needs to export the cache of a chat, such as its prompt
 */
public final class RecentChats<P> {
    /**
     * A recently used chat.
     *
     * @param payload data to export the chat's cache
     * @param tokens size of the cache
     * @param usedAtNanos time at which the chat's last response ended
     */
    public record Chat<P>(Affinity affinity, P payload, long tokens, long usedAtNanos) {}

    /** A chat and the replica that will rank first for it once this one has left. */
    public record Handover<P>(Chat<P> chat, Replica target) {}

    /** Time since its last use after which a chat is half as likely to continue soon. */
    private static final double HALF_LIFE_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 16;

    private final int mMaxChats;
    private final Map<Affinity, Chat<P>> mChats =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private RecentChats(int maxChats) {
        mMaxChats = maxChats;
    }

    /** Returns an empty collection for at most {@code maxChats} chats. */
    public static <P> RecentChats<P> create(int maxChats) {
        return new RecentChats<>(maxChats);
    }

    /** Records a chat whose response has just ended. */
    public void onUsed(Affinity affinity, P payload, long tokens, long nowNanos) {
        mChats.put(affinity, new Chat<>(affinity, payload, tokens, nowNanos));
        if (mChats.size() > mMaxChats) {
            mChats.remove(mChats.keySet().iterator().next());
        }
    }

    /** Removes a chat, for example because its cache was evicted or handed over. */
    public void forget(Affinity affinity) {
        mChats.remove(affinity);
    }

    /**
     * Returns all chats with their target replicas, in descending order of the prefill work that
     * their caches are expected to save.
     *
     * @param self this replica, which is never a target
     */
    public List<Handover<P>> hottestFirst(ReplicaSet set, NodeId self, long nowNanos) {
        var chats = new ArrayList<>(mChats.values());
        chats.sort(Comparator.comparingDouble((Chat<P> chat) -> -expectedSaving(chat, nowNanos)));
        var handovers = new ArrayList<Handover<P>>(chats.size());
        for (var chat : chats) {
            var target = firstRankExcept(set, self, chat.affinity());
            if (target != null) {
                handovers.add(new Handover<>(chat, target));
            }
        }
        return handovers;
    }

    private static double expectedSaving(Chat<?> chat, long nowNanos) {
        return chat.tokens() * Math.pow(0.5, (nowNanos - chat.usedAtNanos()) / HALF_LIFE_NANOS);
    }

    private static Replica firstRankExcept(ReplicaSet set, NodeId self, Affinity affinity) {
        var ranking = Ranking.of(set, affinity);
        for (int index = ranking.next(); index >= 0; index = ranking.next()) {
            if (!set.replica(index).node().equals(self)) {
                return set.replica(index);
            }
        }
        return null;
    }
}
