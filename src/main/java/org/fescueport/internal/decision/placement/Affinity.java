package org.fescueport.internal.decision.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;

/**
 * The key that ties requests with a common prompt prefix to the same replicas.
 *
 * @param key hash that is ranked on
 * @param cacheable whether an earlier request with this key may have left a prefix in a cache
 */
public record Affinity(long key, boolean cacheable) {
    private static final long CHAT_KIND = 1;
    private static final long PREFIX_KIND = 2;

    /** Returns the key of a chat; chats of two teams never share one by their names. */
    public static Affinity ofChat(TeamId team, ChatId chat) {
        return keyed(CHAT_KIND, hash(team.name()), hash(chat.name()));
    }

    /** Returns the key of a prompt prefix that many requests of a team share. */
    public static Affinity ofPrefix(TeamId team, long prefixHash) {
        return keyed(PREFIX_KIND, hash(team.name()), prefixHash);
    }

    /** Returns a key for a request that shares nothing; such requests spread evenly. */
    public static Affinity none(RequestId request) {
        long key = Hashing.komihash5_0().hashLongLongToLong(request.high(), request.low());
        return new Affinity(key, false);
    }

    private static Affinity keyed(long kind, long team, long rest) {
        return new Affinity(Hashing.komihash5_0().hashLongLongLongToLong(kind, team, rest), true);
    }

    private static long hash(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }
}
