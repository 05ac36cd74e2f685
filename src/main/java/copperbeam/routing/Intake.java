package copperbeam.routing;

/** Accepts requests from fronts. Implemented by the module's actor and by the steps that requests pass through before it. */
public interface Intake {
    void submit(RequestSpec spec, ResponseSink response);

    /** Reports that the client of this response has gone away; ignored if the request has ended. */
    void clientGone(ResponseSink response);
}
