package org.fescueport.internal.http;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;

/** Checks requests as HttpCore does, and leaves it to the exchange to tell what is wrong. */
record RequestRules(HttpProcessor processor) implements HttpProcessor {
    private static final String BROKEN = "fescueport.broken-rule";

    /** Returns why the exchange's request is to be refused, or null. */
    static RefusedHead.Reason brokenRule(HttpRequest request, HttpContext context) {
        if (request instanceof RefusedHead refused) {
            return refused.reason();
        }
        return (RefusedHead.Reason) context.getAttribute(BROKEN);
    }

    @Override
    public void process(HttpRequest request, EntityDetails entity, HttpContext context)
            throws IOException {
        if (request instanceof RefusedHead) {
            return;
        }
        try {
            processor.process(request, entity, context);
        } catch (HttpException e) {
            context.setAttribute(BROKEN, RefusedHead.Reason.of(e));
        }
    }

    @Override
    public void process(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        processor.process(response, entity, context);
    }
}
