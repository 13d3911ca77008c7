package org.fescueport.internal.direct.state;

import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.config.FleetConfiguration;

/** Decodes the records of the store. */
public interface StateDecoder {
    /** Thrown if a record cannot be used; the message says what is wrong with it. */
    final class UnusableRecordException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Messages quote what is wrong, which may be as long as the record. */
        private static final int MAX_MESSAGE_LENGTH = 200;

        private UnusableRecordException(String message) {
            super(message);
        }

        /** Returns the exception with this message, cut off if it is long. */
        public static UnusableRecordException of(String message) {
            String text = String.valueOf(message);
            int length = Math.min(text.length(), MAX_MESSAGE_LENGTH);
            return new UnusableRecordException(text.substring(0, length));
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
