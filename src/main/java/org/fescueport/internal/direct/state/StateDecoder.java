package org.fescueport.internal.direct.state;

import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.config.FleetConfiguration;

/** Decodes the records of the store. */
public interface StateDecoder {
    /** Thrown if a record cannot be used; the message says what is wrong with it. */
    final class UnusableRecordException extends Exception {
        private static final long serialVersionUID = 1L;

        private UnusableRecordException(String message) {
            super(message);
        }

        /** Returns the exception with this message. */
        public static UnusableRecordException of(String message) {
            return new UnusableRecordException(message);
        }
    }

    /** Returns whether the record with this key is the configuration in force. */
    boolean isConfiguration(String key);

    /**
     * Returns the failure domain that the record with this key drains for as long as it exists, or
     * empty if the key is of another kind.
     */
    Optional<FailureDomain> drainedDomain(String key);

    /** Decodes a configuration. */
    FleetConfiguration configuration(byte[] value) throws UnusableRecordException;

    /** Decodes a node's own record. */
    NodeRecord node(byte[] value) throws UnusableRecordException;

    /** Decodes a replica's own record. */
    ReplicaEntry replica(String key, byte[] value) throws UnusableRecordException;
}
