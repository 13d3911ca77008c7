package org.fescueport.internal.security;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The keys of tokens on one node: secrets from its settings or a file that is read again, and from
 * the declarations who signs and what is still accepted. Safe to use from any thread.
 *
 * <pre>{@code
 * var keys = TokenKeys.create(file, text, registry);
 * config.addListener(keys::use);
 * Worker.periodic("token-keys", NodeTls.LOOK_INTERVAL, timers, keys::look);
 * }</pre>
 */
public final class TokenKeys {
    private static final Logger LOG = LoggerFactory.getLogger(TokenKeys.class);

    private final Optional<Path> mFile;
    private final Counter mTaken;
    private final Counter mRefused;
    private final SealedTokens mTokens;
    private TokenKeyRing mRing;
    private String mSeen;
    private Optional<TokenKeyDeclaration> mDeclared = Optional.empty();
    private volatile int mSigning;
    private volatile boolean mIsMissing;
    private volatile boolean mIsRefusing;

    private TokenKeys(Optional<Path> file, String text, MeterRegistry registry) {
        mFile = file;
        mSeen = text;
        mRing = TokenKeyRing.parse(text);
        mTokens = SealedTokens.of(mRing);
        mSigning = mRing.keys().getFirst().id();
        mTaken = registry.counter("token_key_renewals", "result", "taken");
        mRefused = registry.counter("token_key_renewals", "result", "refused");
        registry.gauge("token_key_signing", this, keys -> keys.mSigning);
        registry.gauge("token_key_missing", this, keys -> keys.mIsMissing ? 1 : 0);
        registry.gauge("token_key_file_refused", this, keys -> keys.mIsRefusing ? 1 : 0);
    }

    /**
     * Returns the keys of a node.
     *
     * @param file read again later; without it the keys stay as they are
     * @param text the keys, see {@link TokenKeyRing#parse}
     */
    public static TokenKeys create(Optional<Path> file, String text, MeterRegistry registry) {
        return new TokenKeys(file, text, registry);
    }

    /** Returns the tokens that are signed with these keys. */
    public SealedTokens tokens() {
        return mTokens;
    }

    /** Follows newer declarations. */
    public synchronized void use(Declarations declarations) {
        mDeclared = declarations.tokenKeys();
        apply();
    }

    /** Looks at the file and takes new keys; while it is bad the former ones stay. */
    public synchronized void look() {
        if (mFile.isEmpty()) {
            return;
        }
        var text = read(mFile.get());
        if (!text.equals(mSeen)) {
            mSeen = text;
            take(text);
        }
    }

    private void take(String text) {
        try {
            mRing = TokenKeyRing.parse(text);
        } catch (IllegalArgumentException e) {
            mRefused.increment();
            if (!mIsRefusing) {
                LOG.warn("the file of token keys is bad, the former keys stay: {}", e.getMessage());
            }
            mIsRefusing = true;
            return;
        }
        mTaken.increment();
        mIsRefusing = false;
        LOG.info("the file of token keys was read again");
        apply();
    }

    private void apply() {
        var ring = mDeclared.map(mRing::under).orElse(mRing);
        boolean isMissing = mDeclared.filter(keys -> !mRing.has(keys.signs())).isPresent();
        if (isMissing && !mIsMissing) {
            LOG.warn("token key {} should sign but isn't known here", mDeclared.get().signs());
        }
        mIsMissing = isMissing;
        mSigning = ring.keys().getFirst().id();
        mTokens.use(ring);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            // No key stands in an empty text, which take() refuses.
            return "";
        }
    }
}
