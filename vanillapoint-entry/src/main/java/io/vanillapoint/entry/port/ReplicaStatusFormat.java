package io.vanillapoint.entry.port;

import io.vanillapoint.api.finding.Findings;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** Call with which a replica tells its own state. Implementations are stateless. */
public interface ReplicaStatusFormat {
    /**
     * Path of the call, a GET request.
     *
     * @return path that begins with a slash
     */
    String path();

    /**
     * Writes the headers of the call.
     *
     * @param replica id of the intended replica
     * @param headers map to add the headers to
     */
    void writeCall(String replica, MultiMap headers);

    /**
     * Parses an answer. Replicas of some services do not know the call; their answer tells only
     * that they can be reached.
     *
     * @param replica id of the intended replica, named in findings
     * @param status HTTP status
     * @param body body of the answer
     * @param findings receives what is malformed
     * @return the status, without what is malformed
     */
    ReplicaStatus parse(String replica, int status, Buffer body, Findings findings);
}
