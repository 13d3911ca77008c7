package org.fescueport.internal.load.experiment;

import java.util.Arrays;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;

/**
 * Which team a chat belongs to: a few teams are large.
 *
 * @param largestShare share of all chats that team 0 has
 */
record Teams(int count, double largestShare) {
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    /** Names of the first teams, each made once. */
    private static final TeamId[] IDS = new TeamId[2_048];

    static {
        Arrays.setAll(IDS, team -> TeamId.of("team" + team));
    }

    static TeamId idOf(int team) {
        return IDS[team];
    }

    static Affinity affinityOf(int team, int chat) {
        return Affinity.ofChat(idOf(team), ChatId.of(Integer.toString(chat)));
    }

    int ofChat(int chat) {
        double draw = ((chat + 1) * SPREAD >>> 11) * 0x1p-53;
        if (draw < largestShare || count == 1) {
            return 0;
        }
        double rest = (draw - largestShare) / (1 - largestShare);
        return Math.min(count - 1, (int) Math.pow(count, rest));
    }

    Affinity affinityOf(int chat) {
        return affinityOf(ofChat(chat), chat);
    }
}
