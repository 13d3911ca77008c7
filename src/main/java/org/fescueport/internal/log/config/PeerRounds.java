package org.fescueport.internal.log.config;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.wire.generated.ConfigRecords;

/** Chooses the peers to ask while the log is down and remembers which failure domains answered. */
final class PeerRounds {
    private static final int DOMAINS_NEEDED = 2;

    private final ConfigPeers mPeers;
    private final int mPerRound;
    private final int mCurrentMillis;
    private final Random mRandom;
    private final Map<FailureDomain, Long> mHeardAtMillis = new ConcurrentHashMap<>();

    PeerRounds(ConfigPeers peers, int perRound, int currentMillis, Random random) {
        mPeers = peers;
        mPerRound = perRound;
        mCurrentMillis = currentMillis;
        mRandom = random;
    }

    ConfigPeers peers() {
        return mPeers;
    }

    /** Returns random peers, of different failure domains first. */
    List<ConfigPeers.Peer> choose() {
        var left = new ArrayList<>(mPeers.peers());
        Collections.shuffle(left, mRandom);
        var domains = new HashSet<FailureDomain>();
        var chosen = new ArrayList<ConfigPeers.Peer>();
        var others = new ArrayList<ConfigPeers.Peer>();
        for (var peer : left) {
            (domains.add(peer.domain()) ? chosen : others).add(peer);
        }
        chosen.addAll(others);
        return chosen.subList(0, Math.min(mPerRound, chosen.size()));
    }

    /**
     * A peer answered; it counts if it was ever current, so that fresh nodes don't settle each
     * other, and once this node has everything that the peer has.
     */
    void onHeard(FailureDomain domain, long askedAtMillis, byte[] records, long position) {
        try {
            var answer = ConfigRecords.parseFrom(records);
            if (answer.getSettled() && answer.getNext() <= position) {
                mHeardAtMillis.merge(domain, askedAtMillis, Math::max);
            }
        } catch (InvalidProtocolBufferException e) {
            // Was counted when the records were offered.
            mHeardAtMillis.remove(domain);
        }
    }

    /** Returns whether enough failure domains were heard a short time ago. */
    boolean heard(long nowMillis) {
        return heardAtMillis(nowMillis) > Long.MIN_VALUE;
    }

    /** Returns when the last failure domain that was needed was heard; the least value if not. */
    long heardAtMillis(long nowMillis) {
        var fresh =
                mHeardAtMillis.values().stream()
                        .filter(at -> nowMillis - at <= mCurrentMillis)
                        .sorted(Collections.reverseOrder())
                        .toList();
        return fresh.size() < DOMAINS_NEEDED ? Long.MIN_VALUE : fresh.get(DOMAINS_NEEDED - 1);
    }

    /** Returns whether the entries ascend and lie in the range that the answer says is complete. */
    static boolean isContiguous(ConfigRecords records) {
        var least = records.getFrom();
        for (var entry : records.getEntriesList()) {
            if (entry.getOffset() < least) {
                return false;
            }
            least = entry.getOffset() + 1;
        }
        return least <= records.getNext();
    }
}
