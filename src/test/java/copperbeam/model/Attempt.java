package copperbeam.model;

/** One attempt as the wire shows it. */
final class Attempt {
    /** What its end proves. */
    enum Proof {
        /** Nothing: it may have run. */
        NONE,
        /** The server said that it did not run, or its last byte never left. */
        NEVER_RAN
    }

    final ClientRequest request;
    final ModelProcess process;
    final ModelServer server;
    final int number; // of those whose head has left
    long lastByteAt = -1;
    long arrivedAt = -1; // its last byte, at a server that runs
    long overAt = -1;
    Proof proof = Proof.NONE;
    int eventsWritten;
    long[] writtenAt = new long[0];
    long endWrittenAt = -1;
    long endHeardAt = -1; // by the process

    Attempt(ClientRequest request, ModelProcess process, ModelServer server, int number) {
        this.request = request;
        this.process = process;
        this.server = server;
        this.number = number;
    }

    /** Its last byte has left and its connection is open. */
    boolean out() {
        return lastByteAt >= 0 && overAt < 0;
    }

    /** The same, and a running server has it. */
    boolean arrivedAndOut() {
        return arrivedAt >= 0 && overAt < 0;
    }

    /** It had an effect, or nobody can tell. */
    boolean mayHaveRun() {
        return lastByteAt >= 0 && proof == Proof.NONE && server.role != copperbeam.Api.Role.READER;
    }
}
