package org.fescueport.internal.decision.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;

/**
 * The key by which requests with a common prompt prefix are sent to the same replicas.
 *
 * @param key hash from which the ranking of the replicas is computed
 * @param cacheable whether an earlier request with this key may have left its prefix in a cache
 */
public record Affinity(long key, boolean cacheable) {
    private static final long CHAT_KIND = 1;
    private static final long PREFIX_KIND = 2;

    /** Returns the key of a chat. Chats with the same name of two teams have different keys. */
    public static Affinity ofChat(TeamId team, ChatId chat) {
        return keyed(CHAT_KIND, hash(team.name()), hash(chat.name()));
    }

    /** Returns the key of a prompt prefix that is shared by requests of a team. */
    public static Affinity ofPrefix(TeamId team, long prefixHash) {
        return keyed(PREFIX_KIND, hash(team.name()), prefixHash);
    }

    /** Returns the key of a request without a shared prefix. Such requests are spread evenly. */
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
