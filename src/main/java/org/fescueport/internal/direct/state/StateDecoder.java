package org.fescueport.internal.direct.state;

import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.config.FleetConfiguration;

/** Turns the store's records into what they say. */
public interface StateDecoder {
    /** Thrown for a record that cannot be used; the message says what is wrong with it. */
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

    /** Returns whether the record of this key is the configuration in force. */
    boolean isConfiguration(String key);

    /** Returns the failure domain that the record of this key drains while it is there. */
    Optional<FailureDomain> drainedDomain(String key);

    /** Reads a configuration. */
    FleetConfiguration configuration(byte[] value) throws UnusableRecordException;

    /** Reads what a node says of itself. */
    NodeRecord node(byte[] value) throws UnusableRecordException;

    /** Reads what a replica says of itself. */
    ReplicaEntry replica(String key, byte[] value) throws UnusableRecordException;
}
