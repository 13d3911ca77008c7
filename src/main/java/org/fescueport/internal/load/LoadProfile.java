package org.fescueport.internal.load;

import java.util.List;

/**
 * Shape of a load.
 *
 * @param keys API keys, one for each team
 * @param ratePerSecond requests a second of all teams together, without the surge
 * @param warmupSeconds time at the start that is not recorded
 * @param returnPercent share of the requests that belong to a chat that was there before
 * @param chats chats that may return at a time
 * @param systemWords words of the system prompt that the chats of a team and model share
 * @param userWords words of each message of a user
 * @param maxTokens length of each answer
 * @param streamPercent share of the requests that ask for server-sent events
 */
public record LoadProfile(
        List<String> keys,
        List<String> models,
        int ratePerSecond,
        int seconds,
        int warmupSeconds,
        int returnPercent,
        int chats,
        int systemWords,
        int userWords,
        int maxTokens,
        int streamPercent,
        Surge surge,
        long seed) {
    /**
     * A surge of the first team.
     *
     * @param factor multiple of the team's rate; 1 for no surge
     * @param fromSecond second of the recorded time at which it begins; it lasts to the end
     */
    public record Surge(int factor, int fromSecond) {
        boolean isOn(long recordedNanos) {
            return factor > 1 && recordedNanos >= fromSecond * NANOS_PER_SECOND;
        }
    }

    static final long NANOS_PER_SECOND = 1_000_000_000L;

    public LoadProfile {
        keys = List.copyOf(keys);
        models = List.copyOf(models);
    }

    long warmupNanos() {
        return warmupSeconds * NANOS_PER_SECOND;
    }

    long totalNanos() {
        return (warmupSeconds + seconds) * NANOS_PER_SECOND;
    }
}
