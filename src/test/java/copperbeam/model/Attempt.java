package copperbeam.model;

/** One attempt, as it can be observed on the connection. */
final class Attempt {
    /** What the end of an attempt proves about its execution. */
    enum Proof {
        /** Nothing: the request may have run. */
        NONE,
        /** The request did not run: the server said so, or its last byte was never sent. */
        NEVER_RAN
    }

    final ClientRequest request;
    final ModelProcess process;
    final ModelServer server;
    final int number; // index among the attempts of the request whose head was sent
    long lastByteSentAt = -1;
    long arrivedAt = -1; // when the last byte reached a running server
    long endedAt = -1;
    Proof proof = Proof.NONE;
    int eventsWritten;
    long[] eventWrittenAt = new long[0];
    long endWrittenAt = -1;
    long endReceivedAt = -1; // when the process received the end of the answer

    Attempt(ClientRequest request, ModelProcess process, ModelServer server, int number) {
        this.request = request;
        this.process = process;
        this.server = server;
        this.number = number;
    }

    /** The last byte was sent and the attempt has not ended. */
    boolean isInFlight() {
        return lastByteSentAt >= 0 && endedAt < 0;
    }

    /** The last byte has reached a running server and the attempt has not ended. */
    boolean isInFlightAtServer() {
        return arrivedAt >= 0 && endedAt < 0;
    }

    /** The request had an effect, or it is unknown whether it had; a read has none. */
    boolean mayHaveRun() {
        return lastByteSentAt >= 0 && proof == Proof.NONE && server.role != copperbeam.Api.Role.READER;
    }
}
