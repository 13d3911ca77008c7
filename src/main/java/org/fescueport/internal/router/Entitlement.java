package org.fescueport.internal.router;

import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.http.HttpExchange;

/** Finds what a caller asks for in the declarations, and refuses what its team may not call. */
final class Entitlement {
    private static final String BEARER = "Bearer ";

    private Entitlement() {}

    static OperationDeclaration operationOf(ServiceDeclaration service, String name)
            throws RequestException {
        var operation = service.operations().get(name);
        if (operation == null) {
            throw RequestException.notFound(
                    "service " + service.name() + " declares no operation " + name);
        }
        return operation;
    }

    static TeamDeclaration teamOf(HttpExchange exchange, Declarations declarations)
            throws RequestException {
        var header = exchange.header("Authorization");
        if (!header.startsWith(BEARER)) {
            throw RequestException.unauthorized(
                    "the request has no API key: send \"Authorization: Bearer KEY\"");
        }
        return declarations
                .teamByApiKey(header.substring(BEARER.length()).strip())
                .orElseThrow(
                        () -> RequestException.unauthorized("no team has this API key in force"));
    }

    static ModelDeclaration modelOf(Declarations declarations, TeamDeclaration team, String name)
            throws RequestException {
        var model = declarations.models().get(name);
        if (model == null) {
            throw RequestException.notFound("no model is declared as \"" + name + "\"");
        }
        requireAllowed(team, name);
        return model;
    }

    static ServiceDeclaration serviceOf(
            Declarations declarations, TeamDeclaration team, String name) throws RequestException {
        var service = declarations.services().get(name);
        if (service == null) {
            throw RequestException.notFound("no service is declared as \"" + name + "\"");
        }
        requireAllowed(team, name);
        return service;
    }

    private static void requireAllowed(TeamDeclaration team, String target)
            throws RequestException {
        if (!team.mayCall(target)) {
            throw RequestException.forbidden("team " + team.id() + " may not call " + target);
        }
    }
}
