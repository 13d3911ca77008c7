package org.fescueport.internal.load;

import java.util.random.RandomGenerator;

/** The chats that may return, in bounded number; used by one thread. */
final class ChatPool {
    private static final int TRIES = 4;
    private static final int MOST_TURNS = 8;

    private final LoadProfile mProfile;
    private final RandomGenerator mRandom;
    private final Chat[][] mChatsOfTeam;
    private long mCreated;

    private ChatPool(LoadProfile profile, RandomGenerator random) {
        mProfile = profile;
        mRandom = random;
        int teams = profile.keys().size();
        mChatsOfTeam = new Chat[teams][Math.max(1, profile.chats() / teams)];
    }

    static ChatPool of(LoadProfile profile, RandomGenerator random) {
        return new ChatPool(profile, random);
    }

    /** Returns a chat of the team, already taken: one that returns, or a new one. */
    Chat next(int team) {
        Chat[] chats = mChatsOfTeam[team];
        if (mRandom.nextInt(100) < mProfile.returnPercent()) {
            for (int i = 0; i < TRIES; i++) {
                Chat chat = chats[mRandom.nextInt(chats.length)];
                if (chat != null && chat.turns() < MOST_TURNS && chat.take()) {
                    return chat;
                }
            }
        }
        Chat chat = create(team);
        int place = mRandom.nextInt(chats.length);
        if (chats[place] == null || !chats[place].isBusy()) {
            chats[place] = chat;
        }
        return chat;
    }

    private Chat create(int team) {
        String id = "chat-" + mProfile.seed() + "-" + mCreated++;
        String model = mProfile.models().get(mRandom.nextInt(mProfile.models().size()));
        Chat chat = Chat.of(id, team, model);
        chat.take();
        return chat;
    }
}
