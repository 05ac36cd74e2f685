package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;

/** One rule of the pages, which watches a world from outside the program. */
interface Rule {
    /** The client's request reached a process. */
    default void arrived(ClientRequest request) {}

    default void clientLeft(ClientRequest request) {}

    /** The head of an attempt leaves; {@code told}: how long the server is told that will be waited. */
    default void headLeft(Attempt attempt, Duration told) {}

    default void lastByteLeft(Attempt attempt) {}

    default void lastByteArrived(Attempt attempt) {}

    default void attemptOver(Attempt attempt) {}

    default void refused(ClientRequest request) {}

    default void failed(ClientRequest request) {}

    /** Of the stream of this attempt, the event of this index reached the client. */
    default void event(ClientRequest request, Attempt attempt, int index) {}

    default void streamEnded(ClientRequest request) {}

    default void streamBroken(ClientRequest request) {}

    /** The process's agent has this word on a server. */
    default void told(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {}

    /** A read state is held from now on. */
    default void held(String requestId) {}

    default void letGo(String requestId) {}

    /** Called each few milliseconds. */
    default void check() {}

    /** The world is over, and nothing can come any more. */
    default void finish() {}
}
