package org.fescueport.internal.decision.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.NodeId;

/**
 * Remembers which replicas have long prompt prefixes in their caches, where the ranking of the
 * replicas does not tell it.
 *
 * <p>Designed for times in which replicas are drained, ejected or replaced, so that the requests of
 * a prefix are served elsewhere than at its first replica. The next replica that gets the prefix
 * can then fetch it in a fraction of the time that it takes to compute it. Entries are few in calm
 * times. This class is not thread-safe.
 */
public final class PrefixHolders {
    /** Number of prefixes that are remembered; the least recently used ones are dropped. */
    static final int MAX_PREFIXES = 4_096;

    /** Number of replicas that are remembered for a prefix. */
    static final int MAX_HOLDERS = 4;

    /**
     * A replica that has a prefix cached.
     *
     * @param sinceNanos monotonic time at which this became known; a replica that has joined later
     *     has lost its cache
     */
    public record Holder(NodeId replica, long sinceNanos) {}

    private final Map<Long, List<Holder>> mHolders = new LinkedHashMap<>(16, 0.75f, true);

    private PrefixHolders() {}

    /** Returns an empty memory. */
    public static PrefixHolders create() {
        return new PrefixHolders();
    }

    /** Returns the replicas that have a prefix cached, the newest first. */
    public List<Holder> holders(long prefix) {
        return mHolders.getOrDefault(prefix, List.of());
    }

    /**
     * Adds a replica to the holders of a prefix, or makes it the newest one.
     *
     * @return whether the replica was not among them
     */
    public boolean add(long prefix, NodeId replica, long nowNanos) {
        List<Holder> holders = new ArrayList<>(holders(prefix));
        boolean known = holders.removeIf(holder -> holder.replica().equals(replica));
        holders.addFirst(new Holder(replica, nowNanos));
        mHolders.put(
                prefix, List.copyOf(holders.subList(0, Math.min(MAX_HOLDERS, holders.size()))));
        if (mHolders.size() > MAX_PREFIXES) {
            mHolders.remove(mHolders.keySet().iterator().next());
        }
        return !known;
    }

    /** Removes a replica from the holders of a prefix, because it has lost its cache. */
    public void remove(long prefix, NodeId replica) {
        List<Holder> left =
                holders(prefix).stream()
                        .filter(holder -> !holder.replica().equals(replica))
                        .toList();
        if (left.isEmpty()) {
            mHolders.remove(prefix);
        } else {
            mHolders.put(prefix, left);
        }
    }
}
