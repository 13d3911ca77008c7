package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.PrefixHolders.Holder;
import org.junit.jupiter.api.Test;

class PrefixHoldersTest {
    private final PrefixHolders mHolders = PrefixHolders.create();

    private static NodeId replica(int number) {
        return NodeId.of("r" + number);
    }

    private List<NodeId> replicas(long prefix) {
        return mHolders.holders(prefix).stream().map(Holder::replica).toList();
    }

    @Test
    void shouldReturnTheNewestHolderFirst() {
        assertThat(mHolders.add(1, replica(1), 10), is(true));
        assertThat(mHolders.add(1, replica(2), 20), is(true));
        assertThat(mHolders.add(1, replica(1), 30), is(false));
        assertThat(replicas(1), is(List.of(replica(1), replica(2))));
    }

    @Test
    void shouldKeepAFewHoldersOfAPrefix() {
        for (int i = 0; i < 10; i++) {
            mHolders.add(1, replica(i), i);
        }
        assertThat(replicas(1).size(), is(PrefixHolders.MAX_HOLDERS));
        assertThat(replicas(1).getFirst(), is(replica(9)));
    }

    @Test
    void shouldForgetTheLeastRecentlyUsedPrefixes() {
        for (int i = 0; i < PrefixHolders.MAX_PREFIXES; i++) {
            mHolders.add(i, replica(i), i);
        }
        assertThat(replicas(0).size(), is(1));
        mHolders.add(-1, replica(1), 0);
        assertThat(replicas(0).size(), is(1));
        assertThat(replicas(1), is(empty()));
    }

    @Test
    void shouldRemoveAHolder() {
        mHolders.add(1, replica(1), 0);
        mHolders.add(1, replica(2), 0);
        mHolders.remove(1, replica(2));
        assertThat(replicas(1), is(List.of(replica(1))));
        mHolders.remove(1, replica(1));
        assertThat(replicas(1), is(empty()));
    }
}
