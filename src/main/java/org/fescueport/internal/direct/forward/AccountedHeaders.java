package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Headers of a request that is being read; each line is added to the account first. */
final class AccountedHeaders extends DefaultHttpHeaders {
    private final HeadAccount mAccount;

    private AccountedHeaders(HeadAccount account) {
        mAccount = account;
    }

    /** Creates the headers of a connection's requests. */
    static HttpHeadersFactory factory(HeadAccount account) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new AccountedHeaders(account);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        int valueLength = value instanceof CharSequence text ? text.length() : 0;
        mAccount.addLine(name.length() + valueLength);
        return super.add(name, value);
    }
}
