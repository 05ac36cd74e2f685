package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;

/** Checks one requirement of the specification by observing a world from outside the router. */
interface Rule {
    /** The client's request has reached a process. */
    default void arrived(ClientRequest request) {}

    default void clientLeft(ClientRequest request) {}

    /** The head of an attempt is sent; {@code announcedTimeout}: how long the process will wait, as it tells the server. */
    default void headLeft(Attempt attempt, Duration told) {}

    default void lastByteLeft(Attempt attempt) {}

    default void lastByteArrived(Attempt attempt) {}

    default void attemptOver(Attempt attempt) {}

    default void refused(ClientRequest request) {}

    default void failed(ClientRequest request) {}

    /**
     * The client received the event with this index of the attempt's stream; {@code attempt} is null if the event belongs to
     * another request.
     */
    default void event(ClientRequest request, Attempt attempt, int index) {}

    default void streamEnded(ClientRequest request) {}

    default void streamBroken(ClientRequest request) {}

    /**
     * The process has received this state of a server from service discovery; {@code launchedAt} is in seconds since the
     * epoch.
     */
    default void told(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {}

    /** A server holds the read state of this request from now on. */
    default void held(String requestId) {}

    /** The server no longer holds the read state, because it was fetched or released. */
    default void letGo(String requestId) {}

    /** Called every 20 ms of virtual time. */
    default void check() {}

    /** Called once after the end of the world; no other method is called afterwards. */
    default void finish() {}
}
