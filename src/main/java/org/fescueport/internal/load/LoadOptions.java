package org.fescueport.internal.load;

import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.settings.SettingsReader;

/** Options for the shape of a load. */
final class LoadOptions {
    private static final int MOST_RATE = 100_000;
    private static final int MOST_SECONDS = 86_400;

    @Option(
            name = "--keys",
            title = "KEY,...",
            description = "API keys, one for each team. Default: demo")
    private String mKeys;

    @Option(
            name = "--models",
            title = "NAME,...",
            description = "Models that the chats use. Default: demo")
    private String mModels;

    @Option(
            name = "--rate",
            title = "N",
            description = "Requests a second to each target. Default: 50")
    private String mRate;

    @Option(name = "--seconds", title = "N", description = "Recorded time. Default: 10")
    private String mSeconds;

    @Option(
            name = "--warmup-seconds",
            title = "N",
            description = "Time before that, at the same rate, that is not recorded. Default: 3")
    private String mWarmup;

    @Option(
            name = "--return-percent",
            title = "N",
            description = "Share of requests by chats that return. Default: 70")
    private String mReturns;

    @Option(
            name = "--chats",
            title = "N",
            description = "Chats that may return at a time. Default: 1000")
    private String mChats;

    @Option(
            name = "--system-words",
            title = "N",
            description = "Words of the system prompt. Default: 64")
    private String mSystemWords;

    @Option(name = "--user-words", title = "N", description = "Words of each question. Default: 32")
    private String mUserWords;

    @Option(name = "--max-tokens", title = "N", description = "Length of answers. Default: 16")
    private String mMaxTokens;

    @Option(
            name = "--stream-percent",
            title = "N",
            description = "Share of requests for server-sent events. Default: 100")
    private String mStreams;

    @Option(
            name = "--surge-factor",
            title = "N",
            description = "Multiple of the first team's rate in its surge. Default: 1, no surge")
    private String mSurgeFactor;

    @Option(
            name = "--surge-from-second",
            title = "N",
            description = "Recorded second at which the surge begins. Default: 0")
    private String mSurgeFrom;

    @Option(name = "--seed", title = "N", description = "Seed of all chance. Default: 1")
    private String mSeed;

    /** Reads the options; problems are kept by the reader. */
    LoadProfile read(SettingsReader reader) {
        return new LoadProfile(
                list(reader, "--keys", mKeys, "demo"),
                list(reader, "--models", mModels, "demo"),
                reader.integer("--rate", mRate, 50, 1, MOST_RATE),
                reader.integer("--seconds", mSeconds, 10, 1, MOST_SECONDS),
                reader.integer("--warmup-seconds", mWarmup, 3, 0, MOST_SECONDS),
                reader.integer("--return-percent", mReturns, 70, 0, 100),
                reader.integer("--chats", mChats, 1000, 1, 10_000_000),
                reader.integer("--system-words", mSystemWords, 64, 1, 100_000),
                reader.integer("--user-words", mUserWords, 32, 1, 100_000),
                reader.integer("--max-tokens", mMaxTokens, 16, 1, 100_000),
                reader.integer("--stream-percent", mStreams, 100, 0, 100),
                new LoadProfile.Surge(
                        reader.integer("--surge-factor", mSurgeFactor, 1, 1, 1000),
                        reader.integer("--surge-from-second", mSurgeFrom, 0, 0, MOST_SECONDS)),
                reader.integer("--seed", mSeed, 1, 0, Integer.MAX_VALUE));
    }

    /** Reads one or more URLs that are separated by commas. */
    static LoadRunner.Target target(SettingsReader reader, String flag, String given) {
        List<URI> urls = new ArrayList<>();
        for (String url : reader.requiredText(flag, given).split(",")) {
            URI parsed = reader.requiredUrl(flag, url);
            if (parsed != null) {
                urls.add(parsed);
            }
        }
        return new LoadRunner.Target(urls);
    }

    private static List<String> list(
            SettingsReader reader, String flag, String given, String fallback) {
        String text = reader.text(flag, given, fallback);
        List<String> list = List.of(text.split(","));
        if (text.isBlank() || list.stream().anyMatch(String::isBlank)) {
            reader.addProblem(flag, text, "names that are separated by commas");
        }
        return list;
    }
}
