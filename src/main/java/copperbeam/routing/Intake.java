package copperbeam.routing;

/** Where fronts hand in requests; what stands between them and the module implements it too. */
public interface Intake {
    void arrive(Ask ask, Answer answer);

    /** The client of this answer has gone away; passed over where the request is over. */
    void left(Answer answer);
}
