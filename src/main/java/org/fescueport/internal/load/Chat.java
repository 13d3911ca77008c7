package org.fescueport.internal.load;

import java.util.concurrent.atomic.AtomicBoolean;

/** One chat: who holds it, how often it was answered, and the ticket that it brings back. */
final class Chat {
    private final String mId;
    private final int mTeam;
    private final String mModel;
    private final AtomicBoolean mBusy = new AtomicBoolean();
    private volatile int mTurns;
    private volatile String mTicket = "";

    private Chat(String id, int team, String model) {
        mId = id;
        mTeam = team;
        mModel = model;
    }

    static Chat of(String id, int team, String model) {
        return new Chat(id, team, model);
    }

    String id() {
        return mId;
    }

    int team() {
        return mTeam;
    }

    String model() {
        return mModel;
    }

    /** Returns how many questions of this chat were answered whole. */
    int turns() {
        return mTurns;
    }

    /** Returns the ticket of the last answer; empty before the first. */
    String ticket() {
        return mTicket;
    }

    /** Takes the chat for one request; false while another one runs. */
    boolean take() {
        return mBusy.compareAndSet(false, true);
    }

    boolean isBusy() {
        return mBusy.get();
    }

    /** Gives the chat back after a whole answer. */
    void answered(String ticket) {
        mTurns++;
        if (!ticket.isEmpty()) {
            mTicket = ticket;
        }
        mBusy.set(false);
    }

    /** Gives the chat back after a request that brought no whole answer. */
    void unanswered() {
        mBusy.set(false);
    }
}
