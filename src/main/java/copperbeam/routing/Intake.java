package copperbeam.routing;

/** Accepts requests from fronts. Implemented by the module's actor and by the steps that requests pass through before it. */
public interface Intake {
    void arrive(Ask ask, Answer answer);

    /** Reports that the client of this response has gone away; ignored if the request has ended. */
    void left(Answer answer);
}
