package org.fescueport.internal.load.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LoadTreeTest {
    @Test
    void shouldFindWhatALookAtEachFinds() {
        var random = new Random(3);
        var tree = new LoadTree();
        var loads = new ArrayList<Long>();
        for (int step = 0; step < 5_000; step++) {
            int number = random.nextInt(loads.size() + (loads.size() < 100 ? 1 : 0));
            long load = random.nextInt(4) == 0 ? LoadTree.GONE : random.nextLong(50);
            if (number == loads.size()) {
                loads.add(load = random.nextLong(50));
            } else {
                loads.set(number, load);
            }
            tree.set(number, load);
            int least = 0;
            for (int i = 1; i < loads.size(); i++) {
                least = loads.get(i) < loads.get(least) ? i : least;
            }
            assertThat(tree.least(), is(least));
        }
    }
}
