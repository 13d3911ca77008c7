/**
 * The grammar of HTTP/1.1 responses (RFC 9112), for every program that reads them.
 *
 * <p>Libraries' decoders are lenient: what they return no longer shows what was received. The
 * classes of this package therefore check the lines before a decoder reads them. They depend on no
 * library; a line is a {@link java.lang.CharSequence} of which each character is one byte.
 */
package org.fescueport.internal.http1;
