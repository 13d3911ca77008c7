package org.fescueport.internal.security;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Files, in PEM, that one use of TLS reads its keys from.
 *
 * @param certificates the chain, our own certificate first
 * @param key its private key, PKCS#8 and not encrypted
 * @param trust certificates that sign our peers'; without it nobody is asked for a certificate
 */
public record TlsFiles(Path certificates, Path key, Optional<Path> trust) {}
