package org.fescueport.internal.load.experiment.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fescueport.internal.load.experiment.VirtualTime;
import org.junit.jupiter.api.Test;

class ServiceModelTest {
    private final VirtualTime mTime = new VirtualTime();
    private final List<Long> mEnds = new ArrayList<>();

    private boolean offer(ServiceModel service) {
        var parts = List.of(new Call.Part(1, 0));
        long second = VirtualTime.SECOND;
        var call = Call.arriving(mTime.now(), parts, 0, 0, second, second);
        return service.offer(
                call,
                new Backend.Listener() {
                    @Override
                    public void onFirst(Call begun) {}

                    @Override
                    public void onEnded(Call ended, boolean complete) {
                        mEnds.add(mTime.now() / VirtualTime.MILLI);
                    }
                });
    }

    @Test
    void shouldWorkOnAsManyAsItHasSlotsAndRefuseBeyondItsQueue() {
        var settings = new ServiceModel.Settings(2, 1, 10 * VirtualTime.MILLI, 0);
        var service = ServiceModel.create(settings, mTime, new Random(1));
        for (int i = 0; i < 3; i++) {
            assertThat(offer(service), is(true));
        }
        assertThat(offer(service), is(false));
        assertThat(service.held(), is(3));
        mTime.runUntil(VirtualTime.SECOND);
        assertThat(mEnds, contains(10L, 10L, 20L));
    }
}
