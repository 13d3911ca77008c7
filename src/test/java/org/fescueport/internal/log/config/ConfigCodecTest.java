package org.fescueport.internal.log.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.ConfigRecords;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.junit.jupiter.api.Test;

class ConfigCodecTest {
    private static final ConfigRecord CHANGE =
            ConfigRecords.change(3, ConfigRecords.model("notes", 2), 9);

    private static final DeclarationFile TOKEN_KEYS =
            new DeclarationFile.TokenKeysFile(
                    "token-keys", new TokenKeyDeclaration(2, Map.of(1, 77L)));

    @Test
    void shouldReadWhatItWrote() {
        var fold = ConfigFold.empty();
        fold.apply(1, ConfigRecords.change(0, ConfigRecords.model("notes", 2), 9));
        fold.apply(2, ConfigRecords.change(0, ConfigRecords.teams("t", "a", "0f".repeat(32)), 9));
        fold.apply(3, ConfigRecords.removal(1, "notes"));
        var records =
                List.of(
                        CHANGE,
                        ConfigRecords.removal(4, "notes"),
                        new ConfigRecord.Opening(),
                        ConfigRecords.change(0, TOKEN_KEYS, 9),
                        fold.snapshot());
        for (var record : records) {
            assertThat(ConfigCodec.decode(ConfigCodec.encode(record)), is(record));
        }
    }

    @Test
    void shouldMarkTokenKeysAsOfFormat2() throws Exception {
        var fold = ConfigFold.empty();
        fold.apply(1, ConfigRecords.change(0, TOKEN_KEYS, 9));

        assertThat(formatOf(ConfigRecords.change(0, TOKEN_KEYS, 9)), is(2));
        assertThat(formatOf(fold.snapshot()), is(2));
        assertThat(formatOf(CHANGE), is(1));
    }

    private static int formatOf(ConfigRecord record) throws Exception {
        var bytes = ConfigCodec.encode(record);
        return org.fescueport.internal.wire.generated.ConfigRecord.parseFrom(bytes).getFormat();
    }

    @Test
    void shouldCallNoiseUnreadable() {
        var random = new Random(20261203);
        for (var i = 0; i < 20_000; i++) {
            var data = ConfigCodec.encode(CHANGE);
            data[random.nextInt(data.length)] = (byte) random.nextInt();
            ConfigCodec.decode(java.util.Arrays.copyOf(data, random.nextInt(data.length + 1)));
        }
        assertThat(ConfigCodec.decode(new byte[0]), is(instanceOf(ConfigRecord.Unreadable.class)));
    }

    @Test
    void shouldTellANewerFormat() {
        var newer =
                org.fescueport.internal.wire.generated.ConfigRecord.newBuilder()
                        .setFormat(3)
                        .build();
        var record = (ConfigRecord.Unreadable) ConfigCodec.decode(newer.toByteArray());
        assertThat(record.newerFormat(), is(true));
    }
}
