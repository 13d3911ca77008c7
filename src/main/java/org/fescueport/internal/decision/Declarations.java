package org.fescueport.internal.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.DoubleStream;

/**
 * The configuration declared by operators, as it is in force at one version.
 *
 * <p>Instances are immutable. A node replaces the whole instance when it applies a newer version.
 */
public final class Declarations {
    private static final Declarations NONE = of(0, Map.of(), Map.of(), Map.of(), Optional.empty());

    private final long mVersion;
    private final Map<String, ModelDeclaration> mModels;
    private final Map<String, ServiceDeclaration> mServices;
    private final Map<TeamId, TeamDeclaration> mTeams;
    private final Map<String, TeamDeclaration> mTeamsByKeyHash;
    private final Optional<TokenKeyDeclaration> mTokenKeys;

    private Declarations(
            long version,
            Map<String, ModelDeclaration> models,
            Map<String, ServiceDeclaration> services,
            Map<TeamId, TeamDeclaration> teams,
            Optional<TokenKeyDeclaration> tokenKeys) {
        mVersion = version;
        mModels = Map.copyOf(models);
        mServices = Map.copyOf(services);
        mTeams = Map.copyOf(teams);
        mTeamsByKeyHash = indexByKeyHash(mTeams);
        mTokenKeys = tokenKeys;
    }

    /** Returns empty declarations at version 0. */
    public static Declarations none() {
        return NONE;
    }

    /**
     * Returns declarations without token keys.
     *
     * @param version offset in the log
     */
    public static Declarations of(
            long version,
            Map<String, ModelDeclaration> models,
            Map<String, ServiceDeclaration> services,
            Map<TeamId, TeamDeclaration> teams) {
        return of(version, models, services, teams, Optional.empty());
    }

    /**
     * Returns declarations.
     *
     * @param version offset in the log
     * @param tokenKeys the keys that sign tokens, if they are declared
     */
    public static Declarations of(
            long version,
            Map<String, ModelDeclaration> models,
            Map<String, ServiceDeclaration> services,
            Map<TeamId, TeamDeclaration> teams,
            Optional<TokenKeyDeclaration> tokenKeys) {
        return new Declarations(version, models, services, teams, tokenKeys);
    }

    /** Returns the version, which is an offset in the log, or 0 if nothing was declared yet. */
    public long version() {
        return mVersion;
    }

    /** Returns the declared models by name. */
    public Map<String, ModelDeclaration> models() {
        return mModels;
    }

    /** Returns the declared plain services by name. */
    public Map<String, ServiceDeclaration> services() {
        return mServices;
    }

    /** Returns the declared teams. */
    public Map<TeamId, TeamDeclaration> teams() {
        return mTeams;
    }

    /** Returns the declared keys that sign tokens, or empty if none are declared. */
    public Optional<TokenKeyDeclaration> tokenKeys() {
        return mTokenKeys;
    }

    /** Returns the team that this API key belongs to, or empty if it is unknown. */
    public Optional<TeamDeclaration> teamByApiKey(String apiKey) {
        return Optional.ofNullable(mTeamsByKeyHash.get(hashApiKey(apiKey)));
    }

    /**
     * Returns the load bound of a pool as a multiple of the mean load of its replicas, or empty if
     * no model or service declares the pool.
     */
    public OptionalDouble loadBoundOf(PoolId pool) {
        var modelBounds =
                mModels.values().stream()
                        .filter(model -> model.pool().equals(pool))
                        .mapToDouble(ModelDeclaration::loadBound);
        var serviceBounds =
                mServices.values().stream()
                        .filter(service -> service.pool().equals(pool))
                        .mapToDouble(ServiceDeclaration::loadBound);
        return DoubleStream.concat(modelBounds, serviceBounds).findFirst();
    }

    /**
     * Returns the SHA-256 hash of an API key in lower-case hex, as it is stored in declarations.
     */
    public static String hashApiKey(String apiKey) {
        try {
            var digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(apiKey.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this JDK has no SHA-256", e);
        }
    }

    private static Map<String, TeamDeclaration> indexByKeyHash(Map<TeamId, TeamDeclaration> teams) {
        var byHash = new HashMap<String, TeamDeclaration>();
        for (var team : teams.values()) {
            for (var hash : team.keyHashes()) {
                byHash.put(hash, team);
            }
        }
        return Map.copyOf(byHash);
    }
}
