package org.fescueport.internal.load.soak;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.micrometer.core.instrument.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Drives callers until a file appears, then prints what they saw as one JSON object. */
@Command(name = "soak-load", description = "Callers of a soak, which check every answer")
public final class SoakLoadCommand implements Callable<Integer> {
    private static final int MOST_CALLERS = 10_000;
    private static final int MOST_SECONDS = 86_400;
    private static final int CONNECTIONS = 2048;
    private static final long FILE_CHECK_MILLIS = 200;
    private static final long LAST_ANSWERS_SECONDS = 90;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    @AirlineModule private HelpOption<SoakLoadCommand> mHelp;

    @Option(name = "--url", title = "URL,...", description = "Routers")
    private String mUrls;

    @Option(name = "--stop-file", title = "FILE", description = "The callers end when it exists")
    private String mStopFile;

    @Option(name = "--seconds", title = "N", description = "Longest run. Default: 3600")
    private String mSeconds;

    @Option(name = "--chats", title = "N", description = "Callers that chat. Default: 12")
    private String mChats;

    @Option(name = "--bookings", title = "N", description = "Callers that book. Default: 6")
    private String mBookings;

    @Option(name = "--model", title = "NAME", description = "Default: gauge-notes")
    private String mModel;

    @Option(name = "--service", title = "NAME", description = "Default: booking")
    private String mService;

    @Option(name = "--chat-key", title = "KEY", description = "API key of the chats' team")
    private String mChatKey;

    @Option(name = "--booking-key", title = "KEY", description = "API key of the bookings' team")
    private String mBookingKey;

    @Option(name = "--seed", title = "N", description = "Seed of the callers. Default: 1")
    private String mSeed;

    private final CountDownLatch mStopped = new CountDownLatch(1);

    @Override
    public Integer call() throws InterruptedException {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        var urls = List.of(reader.requiredText("--url", mUrls).split(","));
        var stopFile = Path.of(reader.requiredText("--stop-file", mStopFile));
        int seconds = reader.integer("--seconds", mSeconds, 3600, 1, MOST_SECONDS);
        int chats = reader.integer("--chats", mChats, 12, 0, MOST_CALLERS);
        int bookings = reader.integer("--bookings", mBookings, 6, 0, MOST_CALLERS);
        int seed = reader.integer("--seed", mSeed, 1, 0, Integer.MAX_VALUE);
        reader.requireValid();
        var tally = new SoakTally();
        var settings =
                HttpCallerSettings.defaults()
                        .withConnections(CONNECTIONS, CONNECTIONS)
                        .withConnectTimeout(CONNECT_TIMEOUT);
        try (HttpCaller caller = AsyncHttpCaller.create(settings);
                var timers = Executors.newSingleThreadScheduledExecutor()) {
            var balancer = Balancer.start(urls, caller, timers);
            var world = new SoakWorld(caller, balancer, tally, Clock.SYSTEM, mStopped);
            watch(stopFile, seconds, timers);
            runCallers(world, chats, bookings, seed, reader);
            timers.shutdownNow();
        }
        System.out.println(tally.toJson());
        return ExitCode.OK;
    }

    private void watch(Path stopFile, int seconds, ScheduledExecutorService timers) {
        var limit = timers.schedule(mStopped::countDown, seconds, TimeUnit.SECONDS);
        var check =
                timers.scheduleWithFixedDelay(
                        () -> {
                            if (Files.exists(stopFile)) {
                                mStopped.countDown();
                            }
                        },
                        0,
                        FILE_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
        assert limit != null && check != null;
    }

    private void runCallers(
            SoakWorld world, int chats, int bookings, long seed, SettingsReader reader)
            throws InterruptedException {
        var model = reader.text("--model", mModel, "gauge-notes");
        var service = reader.text("--service", mService, "booking");
        var chatKey = reader.text("--chat-key", mChatKey, "demo-water-key");
        var bookingKey = reader.text("--booking-key", mBookingKey, "demo-garage-key");
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
        for (int i = 0; i < chats; i++) {
            var name = seed + "-" + i;
            callers.execute(new ChatCaller(world, seed * 1000 + i, name, chatKey, model));
        }
        for (int i = 0; i < bookings; i++) {
            var name = seed + "-" + i;
            callers.execute(
                    new BookingCaller(world, seed * 1000 - i - 1, name, bookingKey, service));
        }
        callers.shutdown();
        mStopped.await();
        if (!callers.awaitTermination(LAST_ANSWERS_SECONDS, TimeUnit.SECONDS)) {
            world.tally().cut("callers wait for answers that have no end");
            callers.shutdownNow();
        }
    }
}
