package org.fescueport.internal.security;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** What a process of the fleet is; its certificate names it as a URI among its other names. */
public enum FleetRole {
    ROUTER,
    AGENT;

    private static final int URI_NAME = 6;

    /** Returns the subject alternative name that stands for this role. */
    public String uri() {
        return "urn:fescueport:role:" + name().toLowerCase(Locale.ROOT);
    }

    /** Returns the roles that a certificate names. */
    static Set<FleetRole> of(X509Certificate certificate) throws CertificateParsingException {
        var roles = EnumSet.noneOf(FleetRole.class);
        Collection<List<?>> names = certificate.getSubjectAlternativeNames();
        if (names == null) {
            return roles;
        }
        for (var role : values()) {
            if (names.contains(List.of(URI_NAME, role.uri()))) {
                roles.add(role);
            }
        }
        return roles;
    }
}
